#pragma once

#include <decide/LatencyEstimate.h>
#include <decide/LoadScore.h>
#include <decide/Locality.h>

namespace masticwall {

/**
 * Scores by the latency to expect, in seconds: the service's typical work, stretched by
 * the host's present speed and by crowding, the wait for a slot, and the distance. A host
 * whose speed is not known counts as one of usual speed.
 */
struct EstimatedLatency
{
  const Locality& locality;
  Duration typicalWork; ///< of a call in the service at usual speed, without a wait
  double usualPercent = 100.0; ///< mean of what hosts report, as LoadReport::workPercent

  LatencyEstimate estimate(const UpstreamState& aState, Instant aNow) const;

  double operator()(const UpstreamState& aState, Instant aNow) const
  {
    const auto it = estimate(aState, aNow);
    return it.wait + it.work + it.distance;
  }
};

static_assert(LoadScore<EstimatedLatency>);

} // namespace masticwall
