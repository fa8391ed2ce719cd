#pragma once

#include <algorithm>
#include <core/RandomSource.h>
#include <decide/Route.h>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticwall {

/**
 * Spreads the calls of a route over its services by weight. Smooth weighted round robin:
 * the shares hold after a few calls already. It starts at a random place, so that many
 * processes with few calls each do not all favour the same service. Not thread-safe.
 */
class TrafficSplit
{
public:
  /** The service of the route's next call. */
  template<RandomSource R>
  const std::string& next(const Route& aRoute, R& aRandom)
  {
    if (aRoute.split.empty()) {
      return aRoute.service;
    }
    auto& rotation = mRotations[aRoute.name];
    if (rotation.parts != aRoute.split) {
      restart(rotation, aRoute.split, aRandom);
    }
    return aRoute.split[advance(rotation)].service;
  }

private:
  struct Rotation
  {
    std::vector<SplitPart> parts;
    std::vector<double> credits;
  };

  static std::size_t advance(Rotation& aRotation)
  {
    double total = 0.0;
    for (std::size_t i = 0; i < aRotation.parts.size(); ++i) {
      aRotation.credits[i] += aRotation.parts[i].weight;
      total += aRotation.parts[i].weight;
    }
    const auto best =
      std::max_element(aRotation.credits.begin(), aRotation.credits.end());
    *best -= total;
    return static_cast<std::size_t>(best - aRotation.credits.begin());
  }

  template<RandomSource R>
  static void restart(Rotation& aRotation,
                      const std::vector<SplitPart>& aParts,
                      R& aRandom)
  {
    constexpr std::size_t kStartingPlaces = 64;
    aRotation.parts = aParts;
    aRotation.credits.assign(aParts.size(), 0.0);
    for (auto n = randomIndex(aRandom, kStartingPlaces); n > 0; --n) {
      advance(aRotation);
    }
  }

  std::unordered_map<std::string, Rotation> mRotations; ///< by route
};

} // namespace masticwall
