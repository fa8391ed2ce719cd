#pragma once

#include <algorithm>
#include <cmath>
#include <decide/LoadScore.h>

namespace masticwall {

/**
 * Scores an upstream by its load per slot: the calls in flight from this process plus the
 * calls of other processes, taken from the last load report. The weight of the report
 * halves with every half-life and is 0 beyond kMaxReportAge; otherwise an old report of
 * high load would keep calls away from an upstream that is idle by now.
 */
struct AgedLoad
{
  static constexpr Duration kHalfLife = std::chrono::milliseconds(50);
  static constexpr Duration kMaxReportAge = 8 * kHalfLife;

  double operator()(const UpstreamState& aState, Instant aNow) const
  {
    const auto reportAge = aNow - aState.load.receivedAt;
    const auto halfLives =
      static_cast<double>(reportAge.count()) / static_cast<double>(kHalfLife.count());
    const auto weight = reportAge > kMaxReportAge ? 0.0 : std::exp2(-halfLives);
    const auto reported = aState.load.inUse + aState.load.queued;
    const auto fromOthers = std::max(0, reported - aState.inFlight);
    return (aState.inFlight + weight * fromOthers) / aState.slots;
  }
};

static_assert(LoadScore<AgedLoad>);

} // namespace masticwall
