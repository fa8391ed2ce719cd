#pragma once

#include <decide/LatencyEstimate.h>
#include <decide/LoadScore.h>
#include <decide/Locality.h>

namespace masticwall {

/**
 * Scores an upstream by the estimated latency of a call there, in seconds: the time
 * queued for a slot, the processing time and a penalty for distance. The processing time
 * is the service's typical one, scaled by the upstream's reported speed, by a slowdown at
 * high utilisation and by one during warm-up. Without a recent report, the upstream
 * counts as running at average speed.
 */
struct EstimatedLatency
{
  const Locality& locality;       ///< of this process; must outlive this object
  Duration typicalProcessingTime; ///< of a call to the service at average speed
  double meanProcessingPercent =
    100.0; ///< mean of the reported LoadReport::processingTimePercent

  /** The estimate for a call that is sent to the upstream at `aNow`. */
  LatencyEstimate estimate(const UpstreamState& aState, Instant aNow) const;

  double operator()(const UpstreamState& aState, Instant aNow) const
  {
    const auto it = estimate(aState, aNow);
    return it.queueing + it.processing + it.distancePenalty;
  }
};

static_assert(LoadScore<EstimatedLatency>);

} // namespace masticwall
