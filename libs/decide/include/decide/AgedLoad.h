#pragma once

#include <algorithm>
#include <cmath>
#include <decide/LoadScore.h>

namespace masticwall {

/**
 * Scores by the calls in flight from this process plus the load that others put on the
 * upstream, as last reported; the report loses half its weight every half-life, and
 * counts for nothing after eight, so that an idle upstream is not passed over for ever
 * because of what it once reported.
 */
struct AgedLoad
{
  static constexpr Duration kHalfLife = std::chrono::milliseconds(50);
  static constexpr Duration kLongestAge = 8 * kHalfLife;

  double operator()(const UpstreamState& aState, Instant aNow) const
  {
    const auto age = aNow - aState.load.at;
    const auto halfLives =
      static_cast<double>(age.count()) / static_cast<double>(kHalfLife.count());
    const auto weight = age > kLongestAge ? 0.0 : std::exp2(-halfLives);
    const auto reported = aState.load.inUse + aState.load.queued;
    const auto others = std::max(0, reported - aState.inFlight);
    return (aState.inFlight + weight * others) / aState.slots;
  }
};

static_assert(LoadScore<AgedLoad>);

} // namespace masticwall
