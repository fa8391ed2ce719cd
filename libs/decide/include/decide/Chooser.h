#pragma once

#include <core/RandomSource.h>
#include <decide/LoadScore.h>
#include <span>

namespace masticwall {

using Candidates = std::span<UpstreamState* const>;

/** Any candidate, all equally likely. `aCandidates` must not be empty. */
template<RandomSource R>
UpstreamState*
chooseRandom(Candidates aCandidates, R& aRandom)
{
  return aCandidates[randomIndex(aRandom, aCandidates.size())];
}

/** The better by `aScore` of two different candidates drawn at random. */
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
