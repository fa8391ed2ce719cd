#include <algorithm>
#include <decide/SlowUpstreams.h>

namespace masticwall {

namespace {

/** In the moving average a new sample has a weight of 1 / divisor. */
constexpr int kLatencyWeightDivisor = 8;

/** Used while too few upstreams have latency samples. */
constexpr Duration kDefaultProcessingTime = std::chrono::milliseconds(100);

/** An upstream is slow if its mean latency exceeds this multiple of the median. */
constexpr int kSlowFactor = 3;
/** Fewer samples don't make an upstream slow, nor count for the median. */
constexpr int kMinLatencySamples = 3;
constexpr std::size_t kMinUpstreamsForMedian = 3;

/** A slow upstream gets one call per period from this process, to detect its recovery. */
constexpr Duration kTrialPeriod = std::chrono::seconds(2);

void
addSample(MeanLatency& aMean, Duration aLatency, bool aReplaces)
{
  if (aReplaces || aMean.samples == 0) {
    aMean.mean = aLatency;
  } else {
    aMean.mean += (aLatency - aMean.mean) / kLatencyWeightDivisor;
  }
  ++aMean.samples;
}

/** Of the upstreams' means; 0 if too few have samples. */
Duration
medianOf(const UpstreamStates& aStates, MeanLatency UpstreamState::*aMean)
{
  std::vector<Duration> means;
  for (const auto& it : aStates) {
    const auto& mean = (*it).*aMean;
    if (mean.samples >= kMinLatencySamples) {
      means.push_back(mean.mean);
    }
  }
  if (means.size() < kMinUpstreamsForMedian) {
    return Duration{ 0 };
  }
  const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  return *middle;
}

} // namespace

SlowUpstreams::SlowUpstreams()
  : mDefaultProcessingTime(kDefaultProcessingTime)
{
}

void
SlowUpstreams::recordAnswer(UpstreamState& aState,
                            Duration aLatency,
                            const UpstreamStates& aStates)
{
  const bool hasRecovered = isSlow(aState) && aLatency <= kSlowFactor * mMedianLatency;
  addSample(aState.latency, aLatency, hasRecovered);
  addSample(aState.answerLatency, aLatency, hasRecovered);
  updateMedians(aStates);
}

void
SlowUpstreams::recordFailure(UpstreamState& aState,
                             Duration aLatency,
                             const UpstreamStates& aStates)
{
  // A fast failure must not lower the mean latency.
  addSample(aState.latency, std::max(aLatency, aState.latency.mean), false);
  updateMedians(aStates);
}

void
SlowUpstreams::recordTrialAnswer(Duration aLatency, const UpstreamStates& aStates)
{
  mDefaultProcessingTime = std::min(mDefaultProcessingTime, aLatency);
  for (const auto& it : aStates) {
    it->answerLatency.mean = std::min(it->answerLatency.mean, aLatency);
  }
  updateMedians(aStates);
}

bool
SlowUpstreams::isSlow(const UpstreamState& aState) const
{
  return aState.latency.samples >= kMinLatencySamples && mMedianLatency > Duration{ 0 } &&
         aState.latency.mean > kSlowFactor * mMedianLatency;
}

bool
SlowUpstreams::isBetweenTrials(const UpstreamState& aState, Instant aNow) const
{
  return isSlow(aState) && (aState.inFlight > 0 || aNow < aState.nextTrialAt);
}

void
SlowUpstreams::scheduleNextTrial(UpstreamState& aState, Instant aNow) const
{
  if (isSlow(aState)) {
    aState.nextTrialAt = aNow + kTrialPeriod;
  }
}

Duration
SlowUpstreams::typicalProcessingTime() const
{
  return mMedianAnswerLatency > Duration{ 0 } ? mMedianAnswerLatency
                                              : mDefaultProcessingTime;
}

void
SlowUpstreams::updateMedians(const UpstreamStates& aStates)
{
  mMedianLatency = medianOf(aStates, &UpstreamState::latency);
  mMedianAnswerLatency = medianOf(aStates, &UpstreamState::answerLatency);
}

} // namespace masticwall
