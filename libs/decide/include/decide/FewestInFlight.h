#pragma once

#include <decide/LoadScore.h>

namespace masticwall {

/** Scores an upstream by the calls in flight from this process, per slot. */
struct FewestInFlight
{
  double operator()(const UpstreamState& aState, Instant /*aNow*/) const
  {
    return static_cast<double>(aState.inFlight) / aState.slots;
  }
};

static_assert(LoadScore<FewestInFlight>);

} // namespace masticwall
