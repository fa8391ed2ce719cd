#pragma once

#include <concepts>
#include <decide/UpstreamState.h>

namespace masticwall {

/** A function that scores an upstream; lower scores are preferred. */
template<class S>
concept LoadScore = requires(const S aScore, const UpstreamState& aState, Instant aNow)
{
  {
    aScore(aState, aNow)
    } -> std::convertible_to<double>;
};

} // namespace masticwall
