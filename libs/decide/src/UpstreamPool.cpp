#include <decide/FailureBackOff.h>
#include <decide/SlowStart.h>
#include <decide/UpstreamPool.h>
#include <utility>

namespace masticwall {

namespace {

/** In the moving average of the load a new report has a weight of 1 / divisor. */
constexpr int kLoadWeightDivisor = 4;

/** Weight of a new sample in the moving average of the reported processing times. */
constexpr double kProcessingTimePercentWeight = 1.0 / 32.0;

/** Weight of a new sample in the moving average of the load of all upstreams. */
constexpr double kMeanLoadWeight = 1.0 / 32.0;

/** An older load report does not tell whether an upstream has a slot free. */
constexpr Duration kMaxReportAgeForTrial = std::chrono::seconds(1);

/** No permits are requested so soon after a running upstream has become cold: other VMs
 * that don't know yet still send calls. */
constexpr Duration kPauseAtWarmUp = std::chrono::milliseconds(500);

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
  const auto newlyCold = mColdUpstreams.onListed(aAddresses, aNow);
  mNewlyCold.insert(mNewlyCold.end(), newlyCold.begin(), newlyCold.end());
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
      state->slowStartAt = isFirstList ? aNow - SlowStart::kPeriod : aNow;
    }
    state->address = it;
    state->slots = std::max(1, it.slots > 0 ? it.slots : aSlots);
    state->leaving = mLeavingInstances.contains(it);
    setEvacuated(*state, aNow);
    state->heldOffUntil = std::max(state->heldOffUntil, mHoldOffs.until(it));
    state->requestLimit = mRequestLimits.find(it);
    const bool wasRunning =
      known != mStates.end() ||
      std::any_of(mStates.begin(), mStates.end(), [&](const auto& aState) {
        return aState != nullptr && aState->address.name == it.name;
      });
    setColdUntil(*state, mColdUpstreams.coldUntil(it), wasRunning, aNow);
    states.push_back(std::move(state));
  }
  mStates = std::move(states);
}

void
UpstreamPool::setEvacuated(const DataCentreNames& aDataCentres, Instant aNow)
{
  if (aDataCentres == mEvacuated) {
    return;
  }
  mEvacuated = aDataCentres;
  for (const auto& it : mStates) {
    setEvacuated(*it, aNow);
  }
}

void
UpstreamPool::setEvacuated(UpstreamState& aState, Instant aNow) const
{
  const bool isEvacuated = mEvacuated.count(aState.address.dataCentre) > 0;
  if (std::exchange(aState.evacuated, isEvacuated) && !isEvacuated) {
    aState.slowStartAt = aNow;
  }
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
  const bool isTrial = std::exchange(state->isOnTrial, false);
  switch (aOutcome) {
    case AttemptOutcome::Answered:
      FailureBackOff::onAnswered(*state);
      mSlowUpstreams.recordAnswer(*state, aLatency, mStates);
      if (isTrial) {
        mSlowUpstreams.recordTrialAnswer(aLatency, mStates);
      }
      return;
    case AttemptOutcome::ErrorResponse:
      // The latency is not recorded: errors are often fast and don't show the normal
      // latency.
      FailureBackOff::onErrorResponse(*state, aNow);
      return;
    case AttemptOutcome::Shed:
      FailureBackOff::onShed(*state, aNow);
      return;
    case AttemptOutcome::Failed:
      mSlowUpstreams.recordFailure(*state, aLatency, mStates);
      FailureBackOff::onFailure(*state, aNow);
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
    const auto meanLoad = mMeanLoad.value_or(load);
    mMeanLoad = meanLoad + kMeanLoadWeight * (load - meanLoad);
    mMeanProcessingTimePercent +=
      kProcessingTimePercentWeight *
      (aLoad.processingTimePercent - mMeanProcessingTimePercent);
  }
}

void
UpstreamPool::reportUnreachable(std::string_view aName, Instant aNow)
{
  if (auto* const state = find(aName)) {
    FailureBackOff::onFailure(*state, aNow);
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

LimitChange
UpstreamPool::recordWarmUp(const UpstreamAddress& aUpstream, Duration aLeft, Instant aNow)
{
  const auto change = mColdUpstreams.record(aUpstream, aLeft, aNow);
  if (auto* const state = findInstance(aUpstream)) {
    state->healthAt = aNow;
    setColdUntil(*state, mColdUpstreams.coldUntil(aUpstream), true, aNow);
  }
  return change;
}

void
UpstreamPool::setColdUntil(UpstreamState& aState,
                           Instant aUntil,
                           bool aWasRunning,
                           Instant aNow) const
{
  if (aWasRunning && !aState.isCold(aNow) && aUntil > aNow) {
    aState.permits.postponeRequests(aNow + kPauseAtWarmUp);
  }
  aState.coldUntil = aUntil;
  aState.warmUpPerSecond = mColdUpstreams.policy().perSecond;
}

bool
UpstreamPool::acceptsLoadQuery(const UpstreamAddress& aUpstream, Instant aNow) const
{
  const auto* const state = findInstance(aUpstream);
  return state != nullptr && state->acceptsLoadQueries(aNow);
}

bool
UpstreamPool::acceptsRequest(const UpstreamAddress& aUpstream,
                             bool aHasPermit,
                             Instant aNow) const
{
  const auto* const state = findInstance(aUpstream);
  return state != nullptr && state->isOpen(aNow) &&
         (aHasPermit || !state->limitAt(aNow).has_value());
}

ServiceAvailability
UpstreamPool::availability(Rank aRank,
                           Instant aNow,
                           const AllowedRegions& aAllowedRegions) const
{
  ServiceAvailability availability;
  for (const auto& it : mStates) {
    if (!aAllowedRegions.allows(it->address.region)) {
      continue;
    }
    if (it->acceptsRequests(aNow) || it->mayRequestPermit(aRank, aNow)) {
      return { true, std::nullopt, false };
    }
    if (!it->isInUse()) {
      availability.isEvacuated = availability.isEvacuated || !it->leaving;
      continue;
    }
    auto nextAt = it->heldOffUntil;
    if (it->limitAt(aNow).has_value()) {
      availability.isLimited = true;
      nextAt = std::max(nextAt, it->permits.nextRequestAt(aRank));
    }
    availability.nextAt = std::min(availability.nextAt.value_or(nextAt), nextAt);
  }
  return availability;
}

bool
UpstreamPool::hasReport(const UpstreamAddress& aUpstream) const
{
  const auto* const state = findInstance(aUpstream);
  return state != nullptr && state->hasReported();
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
    const bool isInRegion = aRegion.empty() || it->address.region == aRegion;
    n += it->isInUse() && isInRegion ? it->slots : 0;
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

bool
UpstreamPool::hasCallInFlight() const
{
  return std::any_of(mStates.begin(), mStates.end(), [](const auto& aState) {
    return aState->inFlight > 0;
  });
}

UpstreamState*
UpstreamPool::tryStartTrial(const std::vector<ScoredUpstream>& aScored, Instant aNow)
{
  const auto isReported = [aNow](const ScoredUpstream& aIt) {
    return aNow - aIt.state->load.receivedAt <= kMaxReportAgeForTrial;
  };
  const bool isBlind = std::none_of(aScored.begin(), aScored.end(), isReported);
  const ScoredUpstream* best = nullptr;
  for (const auto& it : aScored) {
    const bool isIdle = isBlind || (isReported(it) && it.estimate.queueing <= 0.0);
    if (isIdle && (best == nullptr || it.score < best->score)) {
      best = &it;
    }
  }
  if (best == nullptr || hasCallInFlight() || !mOverloadTrials.tryStart(aNow)) {
    return nullptr;
  }
  best->state->isOnTrial = true;
  return best->state;
}

void
UpstreamPool::startCall(UpstreamState& aState, Instant aNow)
{
  ++aState.inFlight;
  mSlowUpstreams.scheduleNextTrial(aState, aNow);
  if (aState.limitAt(aNow).has_value()) {
    aState.permits.tryTake(aNow);
  }
}

UpstreamState*
UpstreamPool::find(std::string_view aName) const
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
