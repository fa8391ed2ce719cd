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

} // namespace

void
SlowUpstreams::recordLatency(UpstreamState& aState,
                             Duration aLatency,
                             const UpstreamStates& aStates)
{
  const bool hasRecovered = isSlow(aState) && aLatency <= kSlowFactor * mMedianLatency;
  if (hasRecovered || aState.latencySamples == 0) {
    aState.meanLatency = aLatency;
  } else {
    aState.meanLatency += (aLatency - aState.meanLatency) / kLatencyWeightDivisor;
  }
  ++aState.latencySamples;
  updateMedianLatency(aStates);
}

bool
SlowUpstreams::isSlow(const UpstreamState& aState) const
{
  return aState.latencySamples >= kMinLatencySamples && mMedianLatency > Duration{ 0 } &&
         aState.meanLatency > kSlowFactor * mMedianLatency;
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
  return mMedianLatency > Duration{ 0 } ? mMedianLatency : kDefaultProcessingTime;
}

void
SlowUpstreams::updateMedianLatency(const UpstreamStates& aStates)
{
  std::vector<Duration> means;
  for (const auto& it : aStates) {
    if (it->latencySamples >= kMinLatencySamples) {
      means.push_back(it->meanLatency);
    }
  }
  if (means.size() < kMinUpstreamsForMedian) {
    mMedianLatency = Duration{ 0 };
    return;
  }
  const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  mMedianLatency = *middle;
}

} // namespace masticwall
