#pragma once

#include <core/RandomSource.h>
#include <decide/LoadScore.h>
#include <span>

namespace masticwall {

/** The upstreams that are eligible for a call; not owned. */
using Candidates = std::span<UpstreamState* const>;

/** Selects a candidate uniformly at random. `aCandidates` must not be empty. */
template<RandomSource R>
UpstreamState*
chooseRandom(Candidates aCandidates, R& aRandom)
{
  return aCandidates[randomIndex(aRandom, aCandidates.size())];
}

/**
 * Power of two random choices: draws two different candidates at random and selects the
 * one with the lower score; on a tie, the first one drawn. `aCandidates` must not be
 * empty.
 */
template<LoadScore S, RandomSource R>
UpstreamState*
chooseBetterOfTwo(Candidates aCandidates, const S& aScore, Instant aNow, R& aRandom)
{
  const auto first = randomIndex(aRandom, aCandidates.size());
  if (aCandidates.size() == 1) {
    return aCandidates[first];
  }
  auto second = randomIndex(aRandom, aCandidates.size() - 1);
  if (second >= first) {
    ++second;
  }
  auto* const left = aCandidates[first];
  auto* const right = aCandidates[second];
  return aScore(*left, aNow) <= aScore(*right, aNow) ? left : right;
}

} // namespace masticwall
