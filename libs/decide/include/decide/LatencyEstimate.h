#pragma once

namespace masticwall {

/** What a call's time at an upstream is expected to be, in seconds. */
struct LatencyEstimate
{
  double wait = 0.0;     ///< for a slot
  double work = 0.0;     ///< in the slot
  double distance = 0.0; ///< what the way there is counted as
};

} // namespace masticwall
