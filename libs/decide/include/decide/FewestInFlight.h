#pragma once

#include <decide/LoadScore.h>

namespace masticwall {

/** Scores by the calls that this process has in flight, for each slot. */
struct FewestInFlight
{
  double operator()(const UpstreamState& aState, Instant /*aNow*/) const
  {
    return static_cast<double>(aState.inFlight) / aState.slots;
  }
};

static_assert(LoadScore<FewestInFlight>);

} // namespace masticwall
