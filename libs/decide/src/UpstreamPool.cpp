#include <decide/UpstreamPool.h>
#include <utility>

namespace masticwall {

namespace {

constexpr Duration kFirstBackOff = std::chrono::milliseconds(100);
constexpr Duration kLongestBackOff = std::chrono::seconds(5);
constexpr Duration kShedBackOff = std::chrono::milliseconds(20);
constexpr Duration kColdPeriod = std::chrono::seconds(2);
constexpr int kLatencyWeight = 8; ///< one answer weighs 1/8 in the mean
constexpr int kMaxDoublings = 6;
constexpr int kLoadWeight = 4;              ///< one report weighs 1/4 in the mean load
constexpr double kSpeedWeight = 1.0 / 32.0; ///< of one report in the usual speed
constexpr Duration kAssumedWork = std::chrono::milliseconds(100);

/** An upstream is slow if its mean latency is so many times the median of all. */
constexpr int kSlowFactor = 3;
constexpr int kFewestSamples = 3;
constexpr int kErrorAnswersToBackOff = 2;

/** A slow upstream gets one call from this process in each period, to see it recover. */
constexpr Duration kTrialPeriod = std::chrono::seconds(2);

Duration
backOffAfter(int aFailuresInARow)
{
  const auto doublings = std::min(aFailuresInARow - 1, kMaxDoublings);
  return std::min(kFirstBackOff * (1 << doublings), kLongestBackOff);
}

/** A cold upstream takes one call at a time at first, and all after the cold period. */
int
warmLimit(const UpstreamState& aState, int aMaxInFlight, Instant aNow)
{
  const auto age = aNow - aState.seenSince;
  if (age >= kColdPeriod) {
    return aMaxInFlight;
  }
  return std::min<int>(aMaxInFlight,
                       1 + static_cast<int>(aState.slots * age / kColdPeriod));
}

} // namespace

void
UpstreamPool::update(const std::vector<UpstreamAddress>& aAddresses,
                     int aSlots,
                     Instant aNow)
{
  const bool isFirstList = mStates.empty();
  std::vector<std::unique_ptr<UpstreamState>> states;
  for (const auto& it : aAddresses) {
    const auto known =
      std::find_if(mStates.begin(), mStates.end(), [&](const auto& aState) {
        return aState != nullptr && aState->address.isSameStart(it);
      });
    std::unique_ptr<UpstreamState> state;
    if (known != mStates.end()) {
      state = std::move(*known);
    } else {
      state = std::make_unique<UpstreamState>();
      // What is there when this process starts has been running: not cold.
      state->seenSince = isFirstList ? aNow - kColdPeriod : aNow;
    }
    state->address = it;
    state->slots = std::max(1, it.slots > 0 ? it.slots : aSlots);
    state->leaving =
      std::any_of(mLeaving.begin(), mLeaving.end(), [&](const auto& aGone) {
        return aGone.isSameStart(it);
      });
    states.push_back(std::move(state));
  }
  std::erase_if(mLeaving, [&](const UpstreamAddress& aAddress) {
    return std::any_of(aAddresses.begin(), aAddresses.end(), [&](const auto& aListed) {
      return aListed.name == aAddress.name && aListed.instance != aAddress.instance;
    });
  });
  mStates = std::move(states);
}

void
UpstreamPool::finished(std::string_view aName,
                       CallEnd aEnd,
                       Duration aLatency,
                       Instant aNow)
{
  auto* const state = find(aName);
  if (state == nullptr) {
    return;
  }
  state->inFlight = std::max(0, state->inFlight - 1);
  switch (aEnd) {
    case CallEnd::Answered:
      state->failuresInARow = 0;
      state->backOffUntil = Instant{};
      noteLatency(*state, aLatency);
      return;
    case CallEnd::ErrorAnswer:
      // One may be the request's own fault; a run of them is the upstream's. Its quick
      // answers say nothing of how fast it works.
      ++state->failuresInARow;
      if (state->failuresInARow >= kErrorAnswersToBackOff) {
        state->backOffUntil =
          aNow + backOffAfter(state->failuresInARow - kErrorAnswersToBackOff + 1);
      }
      return;
    case CallEnd::Shed:
      state->backOffUntil = aNow + kShedBackOff;
      return;
    case CallEnd::Failed:
      noteLatency(*state, std::max(aLatency, state->meanLatency));
      ++state->failuresInARow;
      state->backOffUntil = aNow + backOffAfter(state->failuresInARow);
      return;
    case CallEnd::Cancelled:
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
    state->meanLoad += (load - state->meanLoad) / kLoadWeight;
    mUsualPercent += kSpeedWeight * (aLoad.workPercent - mUsualPercent);
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

void
UpstreamPool::markLeaving(std::string_view aName, std::string_view aInstance)
{
  auto* const state = find(aName);
  if (state == nullptr || state->leaving || state->address.instance != aInstance) {
    return;
  }
  state->leaving = true;
  mLeaving.push_back(state->address);
}

std::vector<std::string>
UpstreamPool::regions(std::string_view aLocal) const
{
  std::vector<std::string> regions{ std::string(aLocal) };
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
UpstreamPool::typicalWork() const
{
  return mTypicalLatency > Duration{ 0 } ? mTypicalLatency : kAssumedWork;
}

std::vector<UpstreamState*>
UpstreamPool::eligible(std::string_view aRegion,
                       int aMaxInFlight,
                       const std::vector<std::string>& aExcluded,
                       Instant aNow)
{
  std::vector<UpstreamState*> ready;
  std::vector<UpstreamState*> backingOff;
  for (const auto& it : mStates) {
    const bool isExcluded =
      std::find(aExcluded.begin(), aExcluded.end(), it->address.name) != aExcluded.end();
    if (it->leaving || isExcluded ||
        (!aRegion.empty() && it->address.region != aRegion) ||
        it->inFlight >= warmLimit(*it, aMaxInFlight, aNow) ||
        (isSlow(*it) && (it->inFlight > 0 || aNow < it->trialAt))) {
      continue;
    }
    (it->backOffUntil > aNow ? backingOff : ready).push_back(it.get());
  }
  return ready.empty() ? backingOff : ready;
}

bool
UpstreamPool::isSlow(const UpstreamState& aState) const
{
  return aState.samples >= kFewestSamples && mTypicalLatency > Duration{ 0 } &&
         aState.meanLatency > kSlowFactor * mTypicalLatency;
}

void
UpstreamPool::noteTrial(UpstreamState& aState, Instant aNow)
{
  if (isSlow(aState)) {
    aState.trialAt = aNow + kTrialPeriod;
  }
}

void
UpstreamPool::noteLatency(UpstreamState& aState, Duration aLatency)
{
  const bool isRecovered = isSlow(aState) && aLatency <= kSlowFactor * mTypicalLatency;
  if (isRecovered || aState.samples == 0) {
    aState.meanLatency = aLatency;
  } else {
    aState.meanLatency += (aLatency - aState.meanLatency) / kLatencyWeight;
  }
  ++aState.samples;
  updateTypicalLatency();
}

void
UpstreamPool::updateTypicalLatency()
{
  std::vector<Duration> means;
  for (const auto& it : mStates) {
    if (it->samples >= kFewestSamples) {
      means.push_back(it->meanLatency);
    }
  }
  if (means.size() < 3) {
    mTypicalLatency = Duration{ 0 };
    return;
  }
  const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  mTypicalLatency = *middle;
}

UpstreamState*
UpstreamPool::find(std::string_view aName)
{
  const auto it = std::find_if(mStates.begin(), mStates.end(), [&](const auto& aState) {
    return aState->address.name == aName;
  });
  return it == mStates.end() ? nullptr : it->get();
}

} // namespace masticwall
