#pragma once

#include <algorithm>
#include <decide/AgedLoad.h>
#include <decide/AttemptOutcome.h>
#include <decide/CandidateSelection.h>
#include <decide/EstimatedLatency.h>
#include <decide/FewestInFlight.h>
#include <decide/HoldOffs.h>
#include <decide/LatencyLimit.h>
#include <decide/LeavingInstances.h>
#include <decide/LoadBalancingPolicy.h>
#include <decide/LoadQueryScope.h>
#include <decide/RequestLimits.h>
#include <decide/ServiceAvailability.h>
#include <decide/SlotShare.h>
#include <limits>
#include <memory>
#include <string_view>
#include <vector>

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

  /**
   * Selects an upstream in `aRegion` (empty: in any) by `aPolicy` and counts a call in
   * flight to it; null if none is eligible. EstimatedLatency selects at random here, as
   * it needs a Locality; use chooseLowestLatency() for it. Not eligible are upstreams
   * that are leaving, held off, or named in `aExcluded` (as already tried for this call),
   * those with `aMaxInFlight` calls (fewer during slow start), and slow ones between
   * trial calls. Upstreams in back-off are used only if no other is eligible.
   */
  template<RandomSource R>
  const UpstreamState* choose(LoadBalancingPolicy aPolicy,
                              std::string_view aRegion,
                              int aMaxInFlight,
                              const std::vector<std::string>& aExcluded,
                              Instant aNow,
                              R& aRandom)
  {
    auto candidates = findCandidates(aRegion, aMaxInFlight, aExcluded, aNow);
    if (candidates.empty()) {
      return nullptr;
    }
    auto* const chosen = select(aPolicy, candidates, aNow, aRandom);
    ++chosen->inFlight;
    scheduleNextTrial(*chosen, aNow);
    return chosen;
  }

  /**
   * Selects the eligible upstream, in any region, with the lowest estimated latency
   * within `aLimit` and counts a call in flight to it; null if there is none.
   */
  template<RandomSource R>
  const UpstreamState* chooseLowestLatency(const Locality& aLocality,
                                           const LatencyLimit& aLimit,
                                           int aMaxInFlight,
                                           const std::vector<std::string>& aExcluded,
                                           Instant aNow,
                                           R& aRandom)
  {
    UpstreamState* best = nullptr;
    auto bestScore = std::numeric_limits<double>::max();
    for (const auto& it :
         scoreCandidates(aLocality, aMaxInFlight, aExcluded, aNow, aRandom)) {
      if (it.score < bestScore && isWithin(it.estimate, aLimit)) {
        best = it.state;
        bestScore = it.score;
      }
    }
    if (best != nullptr) {
      ++best->inFlight;
      scheduleNextTrial(*best, aNow);
    }
    return best;
  }

  /** True if any upstream is eligible, whatever its estimated latency. */
  bool hasCandidate(int aMaxInFlight,
                    const std::vector<std::string>& aExcluded,
                    Instant aNow)
  {
    return !findCandidates({}, aMaxInFlight, aExcluded, aNow).empty();
  }

  /**
   * Of the eligible upstreams with the lowest estimated latency, as many as `aScope`
   * says, those whose load report is older than `aMaxReportAge`.
   */
  template<RandomSource R>
  std::vector<UpstreamAddress> staleTopCandidates(
    const Locality& aLocality,
    int aMaxInFlight,
    const std::vector<std::string>& aExcluded,
    const LoadQueryScope& aScope,
    Duration aMaxReportAge,
    Instant aNow,
    R& aRandom)
  {
    auto ranked = scoreCandidates(aLocality, aMaxInFlight, aExcluded, aNow, aRandom);
    std::sort(ranked.begin(),
              ranked.end(),
              [](const ScoredUpstream& aLeft, const ScoredUpstream& aRight) {
                return aLeft.score < aRight.score;
              });
    std::vector<UpstreamAddress> stale;
    std::size_t n = 0;
    int slots = 0;
    for (const auto& it : ranked) {
      if (n >= aScope.upstreams && slots >= aScope.slots) {
        break;
      }
      ++n;
      slots += it.state->slots;
      if (aNow - it.state->load.receivedAt > aMaxReportAge) {
        stale.push_back(it.state->address);
      }
    }
    return stale;
  }

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

  /** Whether this instance is listed and has a request limit. */
  bool isLimited(const UpstreamAddress& aUpstream) const;

  /** Whether this instance is listed and takes requests. */
  bool acceptsRequests(const UpstreamAddress& aUpstream, Instant aNow) const;

  ServiceAvailability availability(Instant aNow) const;

  /** The regions that have upstreams, after `aLocalRegion`, which always comes first. */
  std::vector<std::string> regions(std::string_view aLocalRegion) const;

  /** Median of the upstreams' mean latencies; a default while too few have samples. */
  Duration typicalProcessingTime() const;

  /** Total slots of the upstreams in `aRegion` that are not leaving. */
  int slotsIn(std::string_view aRegion) const;

  /** A copy of the state of every upstream. */
  std::vector<UpstreamState> snapshot() const;

private:
  /** Scores are multiplied by a random factor from 1 up to this. */
  static constexpr double kMaxJitterFactor = 1.2;

  /** An upstream and the estimated latency of a call there. */
  struct ScoredUpstream
  {
    UpstreamState* state = nullptr;
    LatencyEstimate estimate;
    double score = 0.0; ///< the sum of the estimate's parts, with jitter; in seconds
  };

  /** Scores the eligible upstreams of all regions. */
  template<RandomSource R>
  std::vector<ScoredUpstream> scoreCandidates(const Locality& aLocality,
                                              int aMaxInFlight,
                                              const std::vector<std::string>& aExcluded,
                                              Instant aNow,
                                              R& aRandom)
  {
    const EstimatedLatency estimator{ aLocality,
                                      typicalProcessingTime(),
                                      mMeanProcessingTimePercent };
    // Without jitter, all processes with the same load reports would select the same
    // upstream.
    std::uniform_real_distribution<double> jitter(1.0, kMaxJitterFactor);
    std::vector<ScoredUpstream> scored;
    for (auto* const it : findCandidates({}, aMaxInFlight, aExcluded, aNow)) {
      const auto estimate = estimator.estimate(*it, aNow);
      const auto sum = estimate.queueing + estimate.processing + estimate.distancePenalty;
      scored.push_back({ it, estimate, sum * jitter(aRandom) });
    }
    return scored;
  }

  static bool isWithin(const LatencyEstimate& aEstimate, const LatencyLimit& aLimit)
  {
    const std::chrono::duration<double> queueing(aEstimate.queueing);
    const std::chrono::duration<double> total(aEstimate.queueing + aEstimate.processing);
    return queueing <= aLimit.maxQueueing && total <= aLimit.maxTotal;
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

  /** The upstreams that are eligible for a call; see choose(). */
  std::vector<UpstreamState*> findCandidates(std::string_view aRegion,
                                             int aMaxInFlight,
                                             const std::vector<std::string>& aExcluded,
                                             Instant aNow);

  UpstreamState* find(std::string_view aName);
  UpstreamState* findInstance(const UpstreamAddress& aUpstream) const;

  /** True if the mean latency exceeds kSlowFactor times the median of the upstreams. */
  bool isSlow(const UpstreamState& aState) const;

  /** If the upstream is slow, bars further calls to it until its next trial call. */
  void scheduleNextTrial(UpstreamState& aState, Instant aNow);
  /**
   * Adds a sample to the mean latency. The first sample, and the first one of a slow
   * upstream that is no longer slow, replace the mean.
   */
  void recordLatency(UpstreamState& aState, Duration aLatency);
  void updateMedianLatency();

  std::vector<std::unique_ptr<UpstreamState>> mStates;
  LeavingInstances mLeavingInstances;
  HoldOffs mHoldOffs;
  RequestLimits mRequestLimits;
  Duration mMedianLatency{ 0 }; ///< of the upstreams' mean latencies; 0: too few samples
  double mMeanProcessingTimePercent =
    100.0; ///< moving average of LoadReport::processingTimePercent
};

} // namespace masticwall
