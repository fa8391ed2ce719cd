#pragma once

#include <decide/LoadScore.h>

namespace masticwall {

/**
 * Scores by the slots not free: the available slots of the CATS metrics draft
 * (draft on computing service metrics, "available" level), without ageing.
 */
struct SlotShare
{
  double operator()(const UpstreamState& aState, Instant /*aNow*/) const
  {
    const auto busy = std::max(aState.load.inUse + aState.load.queued, aState.inFlight);
    return static_cast<double>(busy) / aState.slots;
  }
};

static_assert(LoadScore<SlotShare>);

} // namespace masticwall
