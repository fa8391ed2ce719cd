#include <algorithm>
#include <cmath>
#include <decide/EstimatedLatency.h>

namespace masticwall {

namespace {

using Seconds = std::chrono::duration<double>;

/** A report of calls or of speed loses half its weight in so long. */
constexpr Duration kLoadHalfLife = std::chrono::milliseconds(250);
constexpr Duration kSpeedHalfLife = std::chrono::milliseconds(150);

/** Upstreams slow down beyond this share of their slots, by about this factor. */
constexpr double kCrowdedShare = 0.8;
constexpr double kCrowdedFactor = 1.7;

/** How much longer a cold upstream takes. */
constexpr double kColdFactor = 2.0;

double
weightAfter(Duration aAge, Duration aHalfLife)
{
  return std::exp2(-Seconds(aAge) / Seconds(aHalfLife));
}

/** Calls running or waiting there over its slots, with the one that is to be sent. */
double
expectedLoad(const UpstreamState& aState, Instant aNow)
{
  const auto slots = static_cast<double>(aState.slots);
  const auto weight = weightAfter(aNow - aState.load.at, kLoadHalfLife);
  const auto reported = (aState.load.inUse + aState.load.queued) / slots;
  const auto others = weight * reported + (1.0 - weight) * aState.meanLoad;
  return std::max(others, aState.inFlight / slots) + 1.0 / slots;
}

double
distance(const UpstreamState& aState, const Locality& aLocality)
{
  if (aState.address.region != aLocality.region) {
    return Seconds(aLocality.otherRegion).count();
  }
  const bool isNear = aState.address.dataCentre == aLocality.dataCentre;
  return isNear ? 0.0 : Seconds(aLocality.otherDataCentre).count();
}

} // namespace

LatencyEstimate
EstimatedLatency::estimate(const UpstreamState& aState, Instant aNow) const
{
  const auto load = expectedLoad(aState, aNow);
  const auto speedWeight = weightAfter(aNow - aState.load.at, kSpeedHalfLife);
  const auto slowness = aState.load.workPercent / usualPercent;
  auto work = Seconds(typicalWork).count() * (1.0 + speedWeight * (slowness - 1.0));
  work *= aState.address.isCold ? kColdFactor : 1.0;
  work *= load > kCrowdedShare ? kCrowdedFactor : 1.0;
  const auto wait = std::max(0.0, load - 1.0) * work;
  return { wait, work, distance(aState, locality) };
}

} // namespace masticwall
