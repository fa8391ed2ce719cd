#pragma once

#include <algorithm>
#include <cmath>
#include <decide/LoadScore.h>

namespace masticwall {

/**
 * Scores by the calls in flight from this process plus the load that others put on the
 * upstream, as last reported; the report loses half its weight every half-life.
 */
struct AgedLoad
{
  static constexpr Duration kHalfLife = std::chrono::milliseconds(50);

  double operator()(const UpstreamState& aState, Instant aNow) const
  {
    const auto age = static_cast<double>((aNow - aState.load.at).count());
    const auto weight = std::exp2(-age / static_cast<double>(kHalfLife.count()));
    const auto reported = aState.load.inUse + aState.load.queued;
    const auto others = std::max(0, reported - aState.inFlight);
    return (aState.inFlight + weight * others) / aState.slots;
  }
};

static_assert(LoadScore<AgedLoad>);

} // namespace masticwall
