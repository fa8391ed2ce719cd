#include <decide/UpstreamPool.h>
#include <utility>

namespace masticwall {

namespace {

constexpr Duration kInitialBackOff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackOff = std::chrono::seconds(5);
constexpr int kMaxBackOffDoublings = 6; ///< reaches kMaxBackOff; bounds the shift
constexpr Duration kShedBackOff = std::chrono::milliseconds(20);
constexpr Duration kSlowStartPeriod = std::chrono::seconds(2);

/** Moving averages: a new sample has a weight of 1 / divisor. */
constexpr int kLatencyWeightDivisor = 8;
constexpr int kLoadWeightDivisor = 4;

/** Weight of a new sample in the moving average of the reported processing times. */
constexpr double kProcessingTimePercentWeight = 1.0 / 32.0;

/** Used while too few upstreams have latency samples. */
constexpr Duration kDefaultProcessingTime = std::chrono::milliseconds(100);

/** An upstream is slow if its mean latency exceeds this multiple of the median. */
constexpr int kSlowFactor = 3;
/** Fewer samples don't make an upstream slow, nor count for the median. */
constexpr int kMinLatencySamples = 3;
constexpr std::size_t kMinUpstreamsForMedian = 3;

/** Failures in a row, of any kind, from which a 5xx response starts a back-off. */
constexpr int kFailuresToBackOffOnError = 2;

/** A slow upstream gets one call per period from this process, to detect its recovery. */
constexpr Duration kTrialPeriod = std::chrono::seconds(2);

Duration
backOffAfter(int aFailuresInARow)
{
  const auto doublings = std::min(aFailuresInARow - 1, kMaxBackOffDoublings);
  return std::min(kInitialBackOff * (1 << doublings), kMaxBackOff);
}

/**
 * Limit of calls in flight to an upstream. During slow start it rises from one call
 * towards one more than the upstream's slots; afterwards it is `aMaxInFlight`.
 */
int
slowStartLimit(const UpstreamState& aState, int aMaxInFlight, Instant aNow)
{
  const auto age = std::max(Duration{ 0 }, aNow - aState.slowStartAt);
  if (age >= kSlowStartPeriod) {
    return aMaxInFlight;
  }
  return std::min<int>(aMaxInFlight,
                       1 + static_cast<int>(aState.slots * age / kSlowStartPeriod));
}

} // namespace

void
UpstreamPool::update(const std::vector<UpstreamAddress>& aAddresses,
                     int aSlots,
                     Instant aNow)
{
  const bool isFirstList = mStates.empty();
  mLeavingInstances.onListed(aAddresses, aNow);
  mHoldOffs.removeEnded(aNow);
  mRequestLimits.onListed(aAddresses, aNow);
  std::vector<std::unique_ptr<UpstreamState>> states;
  for (const auto& it : aAddresses) {
    const auto known =
      std::find_if(mStates.begin(), mStates.end(), [&](const auto& aState) {
        return aState != nullptr && aState->address.isSameInstance(it);
      });
    std::unique_ptr<UpstreamState> state;
    if (known != mStates.end()) {
      state = std::move(*known);
    } else {
      state = std::make_unique<UpstreamState>();
      // Upstreams of the first list were running before this process: no slow start.
      state->slowStartAt = isFirstList ? aNow - kSlowStartPeriod : aNow;
    }
    state->address = it;
    state->slots = std::max(1, it.slots > 0 ? it.slots : aSlots);
    state->leaving = mLeavingInstances.contains(it);
    state->heldOffUntil = std::max(state->heldOffUntil, mHoldOffs.until(it));
    state->requestLimit = mRequestLimits.find(it);
    states.push_back(std::move(state));
  }
  mStates = std::move(states);
}

void
UpstreamPool::recordAttemptEnd(std::string_view aName,
                               AttemptOutcome aOutcome,
                               Duration aLatency,
                               Instant aNow)
{
  auto* const state = find(aName);
  if (state == nullptr) {
    return;
  }
  state->inFlight = std::max(0, state->inFlight - 1);
  switch (aOutcome) {
    case AttemptOutcome::Answered:
      state->failuresInARow = 0;
      state->backOffUntil = Instant{};
      recordLatency(*state, aLatency);
      return;
    case AttemptOutcome::ErrorResponse:
      // A single error may be caused by the request, consecutive ones by the upstream.
      // The latency is not recorded: errors are often fast and don't show the normal
      // latency.
      ++state->failuresInARow;
      if (state->failuresInARow >= kFailuresToBackOffOnError) {
        state->backOffUntil =
          aNow + backOffAfter(state->failuresInARow - kFailuresToBackOffOnError + 1);
      }
      return;
    case AttemptOutcome::Shed:
      state->backOffUntil = aNow + kShedBackOff;
      return;
    case AttemptOutcome::Failed:
      // A fast failure must not lower the mean latency.
      recordLatency(*state, std::max(aLatency, state->meanLatency));
      ++state->failuresInARow;
      state->backOffUntil = aNow + backOffAfter(state->failuresInARow);
      return;
    case AttemptOutcome::Cancelled:
      return;
  }
}

void
UpstreamPool::reportLoad(std::string_view aName, const LoadReport& aLoad)
{
  if (auto* const state = find(aName)) {
    state->load = aLoad;
    state->slots = aLoad.slots > 0 ? aLoad.slots : state->slots;
    const auto load = static_cast<double>(aLoad.inUse + aLoad.queued) / state->slots;
    state->meanLoad += (load - state->meanLoad) / kLoadWeightDivisor;
    mMeanProcessingTimePercent +=
      kProcessingTimePercentWeight *
      (aLoad.processingTimePercent - mMeanProcessingTimePercent);
  }
}

void
UpstreamPool::reportUnreachable(std::string_view aName, Instant aNow)
{
  if (auto* const state = find(aName)) {
    ++state->failuresInARow;
    state->backOffUntil = aNow + backOffAfter(state->failuresInARow);
  }
}

bool
UpstreamPool::markLeaving(const UpstreamAddress& aUpstream, Instant aNow)
{
  const bool isNew = mLeavingInstances.mark(aUpstream, aNow);
  if (auto* const state = findInstance(aUpstream)) {
    state->leaving = true;
  }
  return isNew;
}

void
UpstreamPool::addPermits(const UpstreamAddress& aUpstream,
                         const PermitGrant& aGrant,
                         Rank aRank,
                         Instant aNow)
{
  if (auto* const state = findInstance(aUpstream)) {
    state->permits.add(aGrant, aRank, aNow);
  }
}

LimitChange
UpstreamPool::recordLimit(const UpstreamAddress& aUpstream,
                          std::optional<double> aPerSecond,
                          Instant aSentAt,
                          Instant aNow)
{
  const auto change = mRequestLimits.record(aUpstream, aPerSecond, aSentAt, aNow);
  if (auto* const state = findInstance(aUpstream)) {
    state->requestLimit = mRequestLimits.find(aUpstream);
  }
  return change;
}

bool
UpstreamPool::acceptsRequest(const UpstreamAddress& aUpstream,
                             bool aHasPermit,
                             Instant aNow) const
{
  const auto* const state = findInstance(aUpstream);
  return state != nullptr && state->isOpen(aNow) &&
         (aHasPermit || !state->requestLimit.has_value());
}

ServiceAvailability
UpstreamPool::availability(Rank aRank, Instant aNow) const
{
  ServiceAvailability availability;
  for (const auto& it : mStates) {
    if (it->acceptsRequests(aNow) || it->mayRequestPermit(aRank, aNow)) {
      return { true, std::nullopt, false };
    }
    if (it->leaving) {
      continue;
    }
    auto nextAt = it->heldOffUntil;
    if (it->requestLimit.has_value()) {
      availability.isLimited = true;
      nextAt = std::max(nextAt, it->permits.nextRequestAt(aRank));
    }
    availability.nextAt = std::min(availability.nextAt.value_or(nextAt), nextAt);
  }
  return availability;
}

std::vector<std::string>
UpstreamPool::regions(std::string_view aLocalRegion) const
{
  std::vector<std::string> regions{ std::string(aLocalRegion) };
  for (const auto& it : mStates) {
    const auto& region = it->address.region;
    if (std::find(regions.begin(), regions.end(), region) == regions.end()) {
      regions.push_back(region);
    }
  }
  return regions;
}

int
UpstreamPool::slotsIn(std::string_view aRegion) const
{
  int n = 0;
  for (const auto& it : mStates) {
    n += it->leaving || it->address.region != aRegion ? 0 : it->slots;
  }
  return n;
}

std::vector<UpstreamState>
UpstreamPool::snapshot() const
{
  std::vector<UpstreamState> states;
  states.reserve(mStates.size());
  for (const auto& it : mStates) {
    states.push_back(*it);
  }
  return states;
}

Duration
UpstreamPool::typicalProcessingTime() const
{
  return mMedianLatency > Duration{ 0 } ? mMedianLatency : kDefaultProcessingTime;
}

std::vector<UpstreamState*>
UpstreamPool::findCandidates(std::string_view aRegion,
                             int aMaxInFlight,
                             const std::vector<std::string>& aExcluded,
                             Instant aNow)
{
  std::vector<UpstreamState*> available;
  std::vector<UpstreamState*> backingOff;
  for (const auto& it : mStates) {
    const bool isInRegion = aRegion.empty() || it->address.region == aRegion;
    if (isInRegion && it->acceptsRequests(aNow) &&
        hasRoom(*it, aMaxInFlight, aExcluded, aNow)) {
      (it->backOffUntil > aNow ? backingOff : available).push_back(it.get());
    }
  }
  return available.empty() ? backingOff : available;
}

std::vector<UpstreamState*>
UpstreamPool::findPermitCandidates(Rank aRank,
                                   int aMaxInFlight,
                                   const std::vector<std::string>& aExcluded,
                                   Instant aNow)
{
  std::vector<UpstreamState*> candidates;
  if (mRequestLimits.isEmpty()) {
    return candidates;
  }
  for (const auto& it : mStates) {
    if (it->mayRequestPermit(aRank, aNow) && it->backOffUntil <= aNow &&
        hasRoom(*it, aMaxInFlight, aExcluded, aNow)) {
      candidates.push_back(it.get());
    }
  }
  return candidates;
}

bool
UpstreamPool::hasRoom(const UpstreamState& aState,
                      int aMaxInFlight,
                      const std::vector<std::string>& aExcluded,
                      Instant aNow) const
{
  const auto& name = aState.address.name;
  const bool isExcluded =
    std::find(aExcluded.begin(), aExcluded.end(), name) != aExcluded.end();
  const bool isBetweenTrials =
    isSlow(aState) && (aState.inFlight > 0 || aNow < aState.nextTrialAt);
  return !isExcluded && !isBetweenTrials &&
         aState.inFlight < slowStartLimit(aState, aMaxInFlight, aNow);
}

void
UpstreamPool::startCall(UpstreamState& aState, Instant aNow)
{
  ++aState.inFlight;
  scheduleNextTrial(aState, aNow);
  if (aState.requestLimit.has_value()) {
    aState.permits.tryTake(aNow);
  }
}

bool
UpstreamPool::isSlow(const UpstreamState& aState) const
{
  return aState.latencySamples >= kMinLatencySamples && mMedianLatency > Duration{ 0 } &&
         aState.meanLatency > kSlowFactor * mMedianLatency;
}

void
UpstreamPool::scheduleNextTrial(UpstreamState& aState, Instant aNow)
{
  if (isSlow(aState)) {
    aState.nextTrialAt = aNow + kTrialPeriod;
  }
}

void
UpstreamPool::recordLatency(UpstreamState& aState, Duration aLatency)
{
  const bool hasRecovered = isSlow(aState) && aLatency <= kSlowFactor * mMedianLatency;
  if (hasRecovered || aState.latencySamples == 0) {
    aState.meanLatency = aLatency;
  } else {
    aState.meanLatency += (aLatency - aState.meanLatency) / kLatencyWeightDivisor;
  }
  ++aState.latencySamples;
  updateMedianLatency();
}

void
UpstreamPool::updateMedianLatency()
{
  std::vector<Duration> means;
  for (const auto& it : mStates) {
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

UpstreamState*
UpstreamPool::find(std::string_view aName)
{
  const auto it = std::find_if(mStates.begin(), mStates.end(), [&](const auto& aState) {
    return aState->address.name == aName;
  });
  return it == mStates.end() ? nullptr : it->get();
}

UpstreamState*
UpstreamPool::findInstance(const UpstreamAddress& aUpstream) const
{
  const auto it = std::find_if(mStates.begin(), mStates.end(), [&](const auto& aState) {
    return aState->address.name == aUpstream.name &&
           aState->address.instance == aUpstream.instance;
  });
  return it == mStates.end() ? nullptr : it->get();
}

} // namespace masticwall
