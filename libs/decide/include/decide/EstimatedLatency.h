#pragma once

#include <decide/LatencyEstimate.h>
#include <decide/LoadScore.h>
#include <decide/Locality.h>

namespace masticwall {

/**
 * Scores an upstream by the estimated latency of a call there, in seconds: the time
 * queued for a slot, the processing time and a penalty for distance. The processing time
 * is the service's typical one, scaled by the processing time that the upstream reports,
 * relative to the mean of all reports, by a slowdown at high load and by one during
 * warm-up. Without a recent report, the upstream counts as having the mean processing
 * time.
 */
struct EstimatedLatency
{
  const Locality& locality;       ///< of this process; must outlive this object
  Duration typicalProcessingTime; ///< of a call to the service, at an average upstream
  double meanProcessingTimePercent =
    100.0; ///< mean of the reported LoadReport::processingTimePercent
  /** Calls per slot at an upstream without any report whose reply to a load query would
   * come too late; the others count as idle. */
  double unknownLoad = 0.0;

  /** The estimate for a call that is sent to the upstream at `aNow`. */
  LatencyEstimate estimate(const UpstreamState& aState, Instant aNow) const;

  double operator()(const UpstreamState& aState, Instant aNow) const
  {
    const auto parts = estimate(aState, aNow);
    return parts.queueing + parts.processing + parts.distancePenalty;
  }
};

static_assert(LoadScore<EstimatedLatency>);

} // namespace masticwall
