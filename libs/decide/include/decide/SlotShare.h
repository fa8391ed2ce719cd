#pragma once

#include <decide/LoadScore.h>

namespace masticwall {

/**
 * Scores an upstream by its slot utilisation: running and queued calls per slot, from the
 * last load report whatever its age, or the calls in flight from this process if those
 * are more. Corresponds to the available slots ("available" level) of the CATS draft on
 * computing service metrics.
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
