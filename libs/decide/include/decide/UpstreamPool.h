#pragma once

#include <algorithm>
#include <decide/AgedLoad.h>
#include <decide/AttemptOutcome.h>
#include <decide/CandidateFinder.h>
#include <decide/CandidateSelection.h>
#include <decide/ColdUpstreams.h>
#include <decide/DataCentreNames.h>
#include <decide/EstimatedLatency.h>
#include <decide/FewestInFlight.h>
#include <decide/HoldOffs.h>
#include <decide/LatencyLimit.h>
#include <decide/LeavingInstances.h>
#include <decide/LoadBalancingPolicy.h>
#include <decide/LoadQueryScope.h>
#include <decide/OverloadTrials.h>
#include <decide/PermitCandidate.h>
#include <decide/RequestLimits.h>
#include <decide/ScoredUpstream.h>
#include <decide/ServiceAvailability.h>
#include <decide/SlotShare.h>
#include <limits>
#include <string_view>
#include <utility>

namespace masticwall {

/**
 * The upstreams of one service, with the load balancing state that one entry process
 * keeps for them. Clock times and random numbers are passed in, so equal inputs give
 * equal choices. Returned pointers are owned by the pool and valid until the next
 * update(). Not thread-safe.
 */
class UpstreamPool
{
public:
  /**
   * Replaces the list of upstreams; instances that stay in it keep their state. `aSlots`
   * applies to upstreams without a slot count of their own. New instances go through slow
   * start, unless the pool was empty before.
   */
  void update(const std::vector<UpstreamAddress>& aAddresses, int aSlots, Instant aNow);

  /** Sets how cold upstreams are limited, from the next update() on. */
  void configureWarmUp(const WarmUpPolicy& aPolicy) { mColdUpstreams.configure(aPolicy); }

  /** The instances that update() has found to be cold since the last call. */
  std::vector<UpstreamAddress> takeNewlyCold() { return std::exchange(mNewlyCold, {}); }

  /**
   * Sends no requests to the upstreams in `aDataCentres`, also not to those that are
   * listed later. Upstreams in others that were evacuated go through slow start.
   */
  void setEvacuated(const DataCentreNames& aDataCentres, Instant aNow);

  /**
   * Selects an eligible upstream (see CandidateFinder) in `aRegion` (empty: in any) by
   * `aPolicy` and counts a call in flight to it; null if there is none. EstimatedLatency
   * selects at random here, as it needs a Locality; use chooseLowestLatency() for it.
   */
  template<RandomSource R>
  const UpstreamState* choose(LoadBalancingPolicy aPolicy,
                              std::string_view aRegion,
                              const CandidateFilter& aFilter,
                              Instant aNow,
                              R& aRandom)
  {
    auto candidates = finder().find(aRegion, aFilter, aNow);
    if (candidates.empty()) {
      return nullptr;
    }
    auto* const chosen = select(aPolicy, candidates, aNow, aRandom);
    startCall(*chosen, aNow);
    return chosen;
  }

  /**
   * Selects the eligible upstream, in any region, with the lowest estimated latency
   * within `aLimit`, or now and then an idle one for a trial beyond it, and counts a call
   * in flight to it; null if there is none. See OverloadTrials.
   */
  template<RandomSource R>
  const UpstreamState* chooseLowestLatency(const Locality& aLocality,
                                           const LatencyLimit& aLimit,
                                           const CandidateFilter& aFilter,
                                           Instant aNow,
                                           R& aRandom)
  {
    UpstreamState* best = nullptr;
    auto bestScore = std::numeric_limits<double>::max();
    const auto candidates = finder().find({}, aFilter, aNow);
    const auto scored = scoreCandidates(candidates, estimator(aLocality), aNow, aRandom);
    for (const auto& it : scored) {
      if (it.score < bestScore && isWithin(it.estimate, aLimit)) {
        best = it.state;
        bestScore = it.score;
      }
    }
    if (best != nullptr) {
      mOverloadTrials.onSent();
    } else if (aLimit.maxTotal > Duration{ 0 }) {
      best = tryStartTrial(scored, aNow);
    }
    if (best != nullptr) {
      startCall(*best, aNow);
    }
    return best;
  }

  /** True if any upstream is eligible, whatever its estimated latency. */
  bool hasCandidate(const CandidateFilter& aFilter, Instant aNow) const
  {
    return !finder().find({}, aFilter, aNow).empty();
  }

  /**
   * Of the eligible upstreams with the lowest estimated latency, as many as `aScope`
   * says, those whose load report is older than `aMaxReportAge`. A load query counts as a
   * request, so those that state a request limit are left out. Of the cold ones without a
   * permit the best is asked beside the others, which shows when it is warm. As responses
   * to calls don't tell that an upstream has become cold, those that may are asked again
   * after a while; see ColdUpstreams::mustAskAgain().
   */
  template<RandomSource R>
  std::vector<UpstreamAddress> staleTopCandidates(const Locality& aLocality,
                                                  const CandidateFilter& aFilter,
                                                  const LoadQueryScope& aScope,
                                                  Duration aMaxReportAge,
                                                  Instant aNow,
                                                  R& aRandom) const
  {
    auto ranked = scoreCandidates(
      finder().findForLoadQueries(aFilter, aNow), estimator(aLocality), aNow, aRandom);
    std::sort(ranked.begin(),
              ranked.end(),
              [](const ScoredUpstream& aLeft, const ScoredUpstream& aRight) {
                return aLeft.score < aRight.score;
              });
    std::vector<UpstreamAddress> stale;
    std::size_t n = 0;
    int slots = 0;
    bool hasCold = false;
    for (const auto& it : ranked) {
      if (n >= aScope.upstreams && slots >= aScope.slots) {
        break;
      }
      const bool isWithoutPermit = !it.state->acceptsRequests(aNow);
      if (isWithoutPermit && std::exchange(hasCold, true)) {
        continue;
      }
      n += isWithoutPermit ? 0 : 1;
      slots += isWithoutPermit ? 0 : it.state->slots;
      const bool isLimited = it.state->requestLimit.has_value();
      const bool isStale = aNow - it.state->load.receivedAt > aMaxReportAge ||
                           mColdUpstreams.mustAskAgain(it.state->healthAt, aNow);
      if (!isLimited && isStale) {
        stale.push_back(it.state->address);
      }
    }
    return stale;
  }

  /**
   * The upstream for which a permit should be requested before a call of `aRank` is sent:
   * its estimated latency is the lowest, within `aLimit`, and it has a request limit and
   * no permit left. Empty if the best one is eligible, or none of them may be asked for.
   */
  template<RandomSource R>
  std::optional<PermitCandidate> permitCandidate(const Locality& aLocality,
                                                 const LatencyLimit& aLimit,
                                                 Rank aRank,
                                                 const CandidateFilter& aFilter,
                                                 Instant aNow,
                                                 R& aRandom) const
  {
    if (mRequestLimits.isEmpty() && mColdUpstreams.isEmpty()) {
      return std::nullopt;
    }
    const auto limited = finder().findLimited(aRank, aFilter, aNow);
    if (limited.empty()) {
      return std::nullopt;
    }
    const auto scorer = estimator(aLocality);
    auto bestScore = std::numeric_limits<double>::max();
    bool hasAlternative = false;
    const auto eligible = finder().find({}, aFilter, aNow);
    for (const auto& it : scoreCandidates(eligible, scorer, aNow, aRandom)) {
      if (isWithin(it.estimate, aLimit)) {
        hasAlternative = hasAlternative || it.estimate.queueing <= 0.0;
        bestScore = std::min(bestScore, it.score);
      }
    }
    const UpstreamState* best = nullptr;
    for (const auto& it : scoreCandidates(limited, scorer, aNow, aRandom)) {
      if (it.score < bestScore && isWithin(it.estimate, aLimit)) {
        best = it.state;
        bestScore = it.score;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    const auto limit = *best->limitAt(aNow);
    return PermitCandidate{ best->address, limit, hasAlternative, best->isCold(aNow) };
  }

  /** Adds the reply to a request for permits for this instance; see PermitStock::add().
   */
  void addPermits(const UpstreamAddress& aUpstream,
                  const PermitGrant& aGrant,
                  Rank aRank,
                  Instant aNow);

  /**
   * Counts a failure of `aName`, which a load query could not reach, and starts a
   * back-off.
   */
  void reportUnreachable(std::string_view aName, Instant aNow);

  /**
   * Records the end of an attempt at `aName`: there is one call in flight less, and its
   * mean latency and back-off are updated. `aLatency` is used for
   * AttemptOutcome::Answered and Failed only.
   */
  void recordAttemptEnd(std::string_view aName,
                        AttemptOutcome aOutcome,
                        Duration aLatency,
                        Instant aNow);

  /** Stores a load report of `aName` and adds it to the moving averages. */
  void reportLoad(std::string_view aName, const LoadReport& aLoad);

  /**
   * Sends no new requests to this instance, however it is listed from now on. Returns
   * false if that was known.
   */
  bool markLeaving(const UpstreamAddress& aUpstream, Instant aNow);

  /**
   * Sends no requests to this instance for `aDuration` and a random part of it. Returns
   * when it gets requests again.
   */
  template<RandomSource R>
  Instant holdOff(const UpstreamAddress& aUpstream,
                  Duration aDuration,
                  Instant aNow,
                  R& aRandom)
  {
    const auto until = mHoldOffs.extend(aUpstream, aDuration, aNow, aRandom);
    if (auto* const state = findInstance(aUpstream)) {
      state->heldOffUntil = until;
      state->slowStartAt = std::max(state->slowStartAt, until);
    }
    return until;
  }

  /**
   * Applies the request limit, or its absence, that a response of this instance states.
   * `aSentAt` is when the response's request was sent.
   */
  LimitChange recordLimit(const UpstreamAddress& aUpstream,
                          std::optional<double> aPerSecond,
                          Instant aSentAt,
                          Instant aNow);

  /** Applies a health response of this instance, which states how long it is still cold,
   * or nothing (zero); see ColdUpstreams::record(). */
  LimitChange recordWarmUp(const UpstreamAddress& aUpstream,
                           Duration aLeft,
                           Instant aNow);

  /** Whether this instance is listed and takes a load query; see UpstreamState. */
  bool acceptsLoadQuery(const UpstreamAddress& aUpstream, Instant aNow) const;

  /** Whether this instance is listed and takes a request, with a permit or without. */
  bool acceptsRequest(const UpstreamAddress& aUpstream,
                      bool aHasPermit,
                      Instant aNow) const;

  /** Whether a call of `aRank` that may run in `aAllowedRegions` can be sent, at once or
   * after a request for a permit. */
  ServiceAvailability availability(Rank aRank,
                                   Instant aNow,
                                   const AllowedRegions& aAllowedRegions = {}) const;

  /** The regions that have upstreams, after `aLocalRegion`, which always comes first. */
  std::vector<std::string> regions(std::string_view aLocalRegion) const;

  /** See SlowUpstreams::typicalProcessingTime(). */
  Duration typicalProcessingTime() const
  {
    return mSlowUpstreams.typicalProcessingTime();
  }

  /** Whether upstreams tell their load, and there are fewer calls than slots at those
   * that lately did, on average. */
  bool hasRoom() const { return mMeanLoad.has_value() && *mMeanLoad < 1.0; }

  /** Whether a load report of this instance is known. */
  bool hasReport(const UpstreamAddress& aUpstream) const;

  /** Total slots of the upstreams in `aRegion` (empty: in all) that are neither leaving
   * nor evacuated. */
  int slotsIn(std::string_view aRegion) const;

  /** A copy of the state of every upstream. */
  std::vector<UpstreamState> snapshot() const;

private:
  CandidateFinder finder() const { return { mStates, mSlowUpstreams }; }

  /** `aLocality` must outlive the result. */
  EstimatedLatency estimator(const Locality& aLocality) const
  {
    return { aLocality,
             typicalProcessingTime(),
             mMeanProcessingTimePercent,
             mMeanLoad.value_or(0.0) };
  }

  bool isWithin(const LatencyEstimate& aEstimate, const LatencyLimit& aLimit) const
  {
    const std::chrono::duration<double> queueing(aEstimate.queueing);
    const std::chrono::duration<double> total(aEstimate.queueing + aEstimate.processing);
    // An idle upstream is good enough, also for a target that none can meet.
    const auto maxTotal =
      mRequestLimits.isEmpty()
        ? aLimit.maxTotal
        : std::min(aLimit.maxTotal,
                   std::max(aLimit.maxTotalIfLimited, typicalProcessingTime()));
    return queueing <= aLimit.maxQueueing && total <= maxTotal;
  }

  template<RandomSource R>
  static UpstreamState* select(LoadBalancingPolicy aPolicy,
                               Candidates aCandidates,
                               Instant aNow,
                               R& aRandom)
  {
    switch (aPolicy) {
      case LoadBalancingPolicy::Random:
        return chooseRandom(aCandidates, aRandom);
      case LoadBalancingPolicy::FewestInFlight:
        return chooseBetterOfTwo(aCandidates, FewestInFlight{}, aNow, aRandom);
      case LoadBalancingPolicy::AgedLoad:
        return chooseBetterOfTwo(aCandidates, AgedLoad{}, aNow, aRandom);
      case LoadBalancingPolicy::SlotShare:
        return chooseBetterOfTwo(aCandidates, SlotShare{}, aNow, aRandom);
      case LoadBalancingPolicy::EstimatedLatency:
        break; // at random; see choose()
    }
    return chooseRandom(aCandidates, aRandom);
  }

  /** Sets whether the upstream's data centre is evacuated. */
  void setEvacuated(UpstreamState& aState, Instant aNow) const;

  bool hasCallInFlight() const;

  /** The upstream that a call is sent to beyond its limit; null if it is to be refused.
   */
  UpstreamState* tryStartTrial(const std::vector<ScoredUpstream>& aScored, Instant aNow);

  /** `aWasRunning`: the instance was listed before, so that VMs may be calling it. */
  void setColdUntil(UpstreamState& aState,
                    Instant aUntil,
                    bool aWasRunning,
                    Instant aNow) const;

  /** Counts a call in flight, and takes a permit if one is needed. */
  void startCall(UpstreamState& aState, Instant aNow);

  UpstreamState* find(std::string_view aName) const;
  UpstreamState* findInstance(const UpstreamAddress& aUpstream) const;

  UpstreamStates mStates;
  SlowUpstreams mSlowUpstreams;
  OverloadTrials mOverloadTrials;
  LeavingInstances mLeavingInstances;
  DataCentreNames mEvacuated;
  HoldOffs mHoldOffs;
  RequestLimits mRequestLimits;
  ColdUpstreams mColdUpstreams;
  std::vector<UpstreamAddress> mNewlyCold;
  double mMeanProcessingTimePercent =
    100.0; ///< moving average of LoadReport::processingTimePercent
  std::optional<double> mMeanLoad; ///< moving average of reported calls per slot
};

} // namespace masticwall
