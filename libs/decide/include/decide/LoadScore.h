#pragma once

#include <concepts>
#include <decide/UpstreamState.h>

namespace masticwall {

/** Gives an upstream a score: the lower, the sooner it is chosen. */
template<class S>
concept LoadScore = requires(const S aScore, const UpstreamState& aState, Instant aNow)
{
  {
    aScore(aState, aNow)
    } -> std::convertible_to<double>;
};

} // namespace masticwall
