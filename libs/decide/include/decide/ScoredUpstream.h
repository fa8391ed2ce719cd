#pragma once

#include <core/RandomSource.h>
#include <decide/CandidateSelection.h>
#include <decide/EstimatedLatency.h>
#include <random>
#include <vector>

namespace masticwall {

/** An upstream and the estimated latency of a call there. */
struct ScoredUpstream
{
  UpstreamState* state = nullptr;
  LatencyEstimate estimate;
  double score = 0.0; ///< the sum of the estimate's parts, with jitter; in seconds
};

/**
 * Scores the candidates by their estimated latency, times a random factor. The load that
 * this answers: many processes with the same load reports, which would all select the
 * same upstream without it.
 */
template<RandomSource R>
std::vector<ScoredUpstream>
scoreCandidates(Candidates aCandidates,
                const EstimatedLatency& aEstimator,
                Instant aNow,
                R& aRandom)
{
  constexpr double kMaxJitterFactor = 1.2;
  std::uniform_real_distribution<double> jitter(1.0, kMaxJitterFactor);
  std::vector<ScoredUpstream> scored;
  scored.reserve(aCandidates.size());
  for (auto* const it : aCandidates) {
    const auto estimate = aEstimator.estimate(*it, aNow);
    const auto sum = estimate.queueing + estimate.processing + estimate.distancePenalty;
    scored.push_back({ it, estimate, sum * jitter(aRandom) });
  }
  return scored;
}

} // namespace masticwall
