#pragma once

namespace masticwall {

/** The estimated latency of a call at an upstream, by part; in seconds. */
struct LatencyEstimate
{
  double queueing = 0.0;        ///< waiting for a slot
  double processing = 0.0;      ///< running in the slot
  double distancePenalty = 0.0; ///< for another data centre or region; see Locality
};

} // namespace masticwall
