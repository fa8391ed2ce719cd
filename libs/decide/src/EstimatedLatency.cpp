#include <algorithm>
#include <cmath>
#include <decide/EstimatedLatency.h>

namespace masticwall {

namespace {

using Seconds = std::chrono::duration<double>;

/** Half-lives of the weights of the reported load and of the reported processing time. */
constexpr Duration kLoadHalfLife = std::chrono::milliseconds(250);
constexpr Duration kProcessingTimeHalfLife = std::chrono::milliseconds(150);

/** Load, in calls per slot, above which an upstream slows down. */
constexpr double kHighLoadThreshold = 0.8;
/** How much longer a call takes, approximately, above that load. */
constexpr double kHighLoadSlowdown = 1.7;

/** How much longer a call takes while its upstream warms up. */
constexpr double kWarmUpSlowdown = 2.0;

/** Exponential decay: the weight of a report of age `aAge`, 1 for a new one. */
double
decayWeight(Duration aAge, Duration aHalfLife)
{
  return std::exp2(-Seconds(aAge) / Seconds(aHalfLife));
}

/** Calls per slot, apart from the last report. None at an upstream with a request limit:
 * it gets no load queries, and few calls. */
double
usualLoad(const UpstreamState& aState, const EstimatedLatency& aEstimator)
{
  if (aState.requestLimit.has_value()) {
    return 0.0;
  }
  const auto& dataCentre = aState.address.dataCentre;
  const bool isUnknown = !aState.hasReported() &&
                         dataCentre != aEstimator.locality.dataCentre &&
                         aEstimator.locality.replyTimes.areLate(dataCentre);
  return isUnknown ? aEstimator.unknownLoad : aState.meanLoad;
}

/**
 * Estimated calls per slot, running and queued, including the call to be sent. As the
 * last report ages, the usual load replaces it.
 */
double
expectedLoad(const UpstreamState& aState,
             const EstimatedLatency& aEstimator,
             Instant aNow)
{
  const auto slots = static_cast<double>(aState.slots);
  const auto weight = decayWeight(aNow - aState.load.receivedAt, kLoadHalfLife);
  const auto reported = (aState.load.inUse + aState.load.queued) / slots;
  const auto usual = usualLoad(aState, aEstimator);
  const auto load = weight * reported + (1.0 - weight) * usual;
  return std::max(load, aState.inFlight / slots) + 1.0 / slots;
}

/** The distance penalty, in seconds. */
double
distancePenalty(const UpstreamState& aState, const Locality& aLocality)
{
  if (aState.address.region != aLocality.region) {
    return Seconds(aLocality.otherRegionPenalty).count();
  }
  const bool isSameDataCentre = aState.address.dataCentre == aLocality.dataCentre;
  return isSameDataCentre ? 0.0 : Seconds(aLocality.otherDataCentrePenalty).count();
}

} // namespace

LatencyEstimate
EstimatedLatency::estimate(const UpstreamState& aState, Instant aNow) const
{
  const auto load = expectedLoad(aState, *this, aNow);
  const auto processingTimeWeight =
    decayWeight(aNow - aState.load.receivedAt, kProcessingTimeHalfLife);
  const auto relativeProcessingTime =
    aState.load.processingTimePercent / meanProcessingTimePercent;
  auto processing = Seconds(typicalProcessingTime).count() *
                    (1.0 + processingTimeWeight * (relativeProcessingTime - 1.0));
  processing *= aState.address.isWarmingUp || aState.isCold(aNow) ? kWarmUpSlowdown : 1.0;
  processing *= load > kHighLoadThreshold ? kHighLoadSlowdown : 1.0;
  // Up to one call per slot, no call has to queue.
  const auto queueing = std::max(0.0, load - 1.0) * processing;
  return { queueing, processing, distancePenalty(aState, locality) };
}

} // namespace masticwall
