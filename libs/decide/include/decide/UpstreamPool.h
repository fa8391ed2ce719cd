#pragma once

#include <algorithm>
#include <decide/AgedLoad.h>
#include <decide/CallEnd.h>
#include <decide/ChoicePolicy.h>
#include <decide/Chooser.h>
#include <decide/EstimatedLatency.h>
#include <decide/FewestInFlight.h>
#include <decide/LatencyLimit.h>
#include <decide/SlotShare.h>
#include <limits>
#include <memory>
#include <string_view>
#include <vector>

namespace masticwall {

/**
 * The upstreams of one service as one entry process knows them, and the choice among
 * them. Not thread-safe; pure but for the random source that is passed in.
 */
class UpstreamPool
{
public:
  /** Takes the list in force; keeps what is known of upstreams that stay. */
  void update(const std::vector<UpstreamAddress>& aAddresses, int aSlots, Instant aNow);

  /**
   * Chooses an upstream of `aRegion` (empty: of any) and counts a call on it; none if all
   * are leaving, at `aMaxInFlight`, or named in `aExcluded`. Upstreams that back off are
   * taken only when no other is left.
   */
  template<RandomSource R>
  const UpstreamState* choose(ChoicePolicy aPolicy,
                              std::string_view aRegion,
                              int aMaxInFlight,
                              const std::vector<std::string>& aExcluded,
                              Instant aNow,
                              R& aRandom)
  {
    auto candidates = eligible(aRegion, aMaxInFlight, aExcluded, aNow);
    if (candidates.empty()) {
      return nullptr;
    }
    auto* const chosen = pick(aPolicy, candidates, aNow, aRandom);
    ++chosen->inFlight;
    noteTrial(*chosen, aNow);
    return chosen;
  }

  /**
   * Chooses the upstream of any region with the lowest estimated latency and counts a
   * call on it; none if the estimates of all are beyond `aLimit`.
   */
  template<RandomSource R>
  const UpstreamState* chooseNearest(const Locality& aLocality,
                                     const LatencyLimit& aLimit,
                                     int aMaxInFlight,
                                     const std::vector<std::string>& aExcluded,
                                     Instant aNow,
                                     R& aRandom)
  {
    UpstreamState* best = nullptr;
    auto bestScore = std::numeric_limits<double>::max();
    for (const auto& it : score(aLocality, aMaxInFlight, aExcluded, aNow, aRandom)) {
      if (it.score < bestScore && isWithin(it.estimate, aLimit)) {
        best = it.state;
        bestScore = it.score;
      }
    }
    if (best != nullptr) {
      ++best->inFlight;
      noteTrial(*best, aNow);
    }
    return best;
  }

  /** True if some upstream may take a call, though perhaps not in time. */
  bool hasCandidate(int aMaxInFlight,
                    const std::vector<std::string>& aExcluded,
                    Instant aNow)
  {
    return !eligible({}, aMaxInFlight, aExcluded, aNow).empty();
  }

  /**
   * Of the `aCount` upstreams that chooseNearest() would favour, those whose load report
   * is older than `aFreshFor`.
   */
  template<RandomSource R>
  std::vector<UpstreamAddress> staleFavourites(const Locality& aLocality,
                                               int aMaxInFlight,
                                               const std::vector<std::string>& aExcluded,
                                               std::size_t aCount,
                                               Duration aFreshFor,
                                               Instant aNow,
                                               R& aRandom)
  {
    auto ranked = score(aLocality, aMaxInFlight, aExcluded, aNow, aRandom);
    const auto n = std::min(aCount, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(n),
                      ranked.end(),
                      [](const Scored& aLeft, const Scored& aRight) {
                        return aLeft.score < aRight.score;
                      });
    std::vector<UpstreamAddress> stale;
    for (std::size_t i = 0; i < n; ++i) {
      if (aNow - ranked[i].state->load.at > aFreshFor) {
        stale.push_back(ranked[i].state->address);
      }
    }
    return stale;
  }

  /** `aName` could not be reached, though no call was sent to it. */
  void reportUnreachable(std::string_view aName, Instant aNow);

  /** A call on `aName` ended. `aLatency` counts for answered calls only. */
  void finished(std::string_view aName, CallEnd aEnd, Duration aLatency, Instant aNow);

  void reportLoad(std::string_view aName, const LoadReport& aLoad);

  /** The upstream's instance leaves; it stays so until another instance is listed. */
  void markLeaving(std::string_view aName, std::string_view aInstance);

  /** The regions that have upstreams, `aLocal` first. */
  std::vector<std::string> regions(std::string_view aLocal) const;

  /** The slots of the upstreams of `aRegion` that stay. */
  int slotsIn(std::string_view aRegion) const;
  std::vector<UpstreamState> snapshot() const;

private:
  static constexpr double kBlur = 1.2; ///< scores are taken up to this factor longer

  /** An upstream with the latency to expect there. */
  struct Scored
  {
    UpstreamState* state = nullptr;
    LatencyEstimate estimate;
    double score = 0.0; ///< the estimate's sum, blurred
  };

  /** Scores the upstreams that may take a call, of any region. */
  template<RandomSource R>
  std::vector<Scored> score(const Locality& aLocality,
                            int aMaxInFlight,
                            const std::vector<std::string>& aExcluded,
                            Instant aNow,
                            R& aRandom)
  {
    const EstimatedLatency estimator{ aLocality, typicalWork(), mUsualPercent };
    // Processes that know the same must not all choose the same.
    std::uniform_real_distribution<double> blur(1.0, kBlur);
    std::vector<Scored> scored;
    for (auto* const it : eligible({}, aMaxInFlight, aExcluded, aNow)) {
      const auto estimate = estimator.estimate(*it, aNow);
      const auto sum = estimate.wait + estimate.work + estimate.distance;
      scored.push_back({ it, estimate, sum * blur(aRandom) });
    }
    return scored;
  }

  static bool isWithin(const LatencyEstimate& aEstimate, const LatencyLimit& aLimit)
  {
    const std::chrono::duration<double> wait(aEstimate.wait);
    const std::chrono::duration<double> whole(aEstimate.wait + aEstimate.work);
    return wait <= aLimit.wait && whole <= aLimit.whole;
  }

  template<RandomSource R>
  static UpstreamState* pick(ChoicePolicy aPolicy,
                             Candidates aCandidates,
                             Instant aNow,
                             R& aRandom)
  {
    switch (aPolicy) {
      case ChoicePolicy::Random:
        return chooseRandom(aCandidates, aRandom);
      case ChoicePolicy::FewestInFlight:
        return chooseBetterOfTwo(aCandidates, FewestInFlight{}, aNow, aRandom);
      case ChoicePolicy::AgedLoad:
        return chooseBetterOfTwo(aCandidates, AgedLoad{}, aNow, aRandom);
      case ChoicePolicy::SlotShare:
        return chooseBetterOfTwo(aCandidates, SlotShare{}, aNow, aRandom);
      case ChoicePolicy::EstimatedLatency:
        break; // chosen by chooseNearest()
    }
    return chooseRandom(aCandidates, aRandom);
  }

  std::vector<UpstreamState*> eligible(std::string_view aRegion,
                                       int aMaxInFlight,
                                       const std::vector<std::string>& aExcluded,
                                       Instant aNow);
  Duration typicalWork() const;
  UpstreamState* find(std::string_view aName);
  bool isSlow(const UpstreamState& aState) const;
  void noteTrial(UpstreamState& aState, Instant aNow);
  void noteLatency(UpstreamState& aState, Duration aLatency);
  void updateTypicalLatency();

  std::vector<std::unique_ptr<UpstreamState>> mStates;
  std::vector<UpstreamAddress> mLeaving; ///< instances that said so
  Duration mTypicalLatency{ 0 };         ///< median of the upstreams' means
  double mUsualPercent = 100.0;          ///< running mean of reported speeds
};

} // namespace masticwall
