#include <algorithm>
#include <decide/LatencyLimit.h>

namespace masticwall {

namespace {

/** Latency limit of a call, as a multiple of its route's latency target. */
constexpr double kMaxLatencyInTargets = 2.5;
constexpr double kMaxLatencyInTargetsIfLimited = 1.25;

/** Limit of the expected wait at an upstream, as a share of the tightest latency target
 * of more urgent ranks of the same service. */
constexpr double kMaxWaitShareOfUrgentTarget = 0.6;

Duration
multiply(Duration aDuration, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aFactor * aDuration);
}

} // namespace

LatencyLimit
LatencyLimit::of(const Preset& aPreset,
                 const Route& aRoute,
                 Rank aRank,
                 const std::string& aService,
                 Instant aArrivedAt,
                 Instant aDeadline,
                 Instant aNow)
{
  LatencyLimit limit;
  limit.maxTotal = aDeadline - aNow;
  if (aRoute.target > Duration{ 0 }) {
    const auto maxLatency = multiply(aRoute.target, kMaxLatencyInTargets);
    const auto maxIfLimited = multiply(aRoute.target, kMaxLatencyInTargetsIfLimited);
    limit.maxTotal = std::min(limit.maxTotal, maxLatency - (aNow - aArrivedAt));
    limit.maxTotalIfLimited =
      std::min(limit.maxTotal, maxIfLimited - (aNow - aArrivedAt));
  }
  const auto urgentTarget = aPreset.targets.lowestMoreUrgentTarget(aService, aRank);
  if (urgentTarget != Duration::max()) {
    limit.maxQueueing = multiply(urgentTarget, kMaxWaitShareOfUrgentTarget);
  }
  return limit;
}

} // namespace masticwall
