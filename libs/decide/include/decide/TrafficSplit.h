#pragma once

#include <algorithm>
#include <core/RandomSource.h>
#include <decide/Route.h>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticwall {

/**
 * Distributes the calls of a route over its services by weight, with smooth weighted
 * round robin: the shares are accurate after a few calls already. Each rotation starts at
 * a random position; otherwise many processes with a few calls each would send most of
 * them to the same service. Not thread-safe.
 */
class TrafficSplit
{
public:
  /** Returns the service for the next call of `aRoute`. */
  template<RandomSource R>
  const std::string& next(const Route& aRoute, R& aRandom)
  {
    if (aRoute.split.empty()) {
      return aRoute.service;
    }
    auto& rotation = mRotations[aRoute.name];
    if (rotation.services != aRoute.split) {
      reset(rotation, aRoute.split, aRandom);
    }
    return aRoute.split[advance(rotation)].service;
  }

private:
  /** The round-robin state of one route. */
  struct Rotation
  {
    std::vector<WeightedService> services;
    std::vector<double> currentWeights; ///< of `services`, in the same order
  };

  /** Advances the rotation by one call; returns the index of the selected service. */
  static std::size_t advance(Rotation& aRotation)
  {
    double totalWeight = 0.0;
    for (std::size_t i = 0; i < aRotation.services.size(); ++i) {
      aRotation.currentWeights[i] += aRotation.services[i].weight;
      totalWeight += aRotation.services[i].weight;
    }
    const auto best =
      std::max_element(aRotation.currentWeights.begin(), aRotation.currentWeights.end());
    *best -= totalWeight;
    return static_cast<std::size_t>(best - aRotation.currentWeights.begin());
  }

  /** Starts a rotation over `aServices` at a random position. */
  template<RandomSource R>
  static void reset(Rotation& aRotation,
                    const std::vector<WeightedService>& aServices,
                    R& aRandom)
  {
    constexpr std::size_t kStartPositions = 64; // skips 0 to 63 calls
    aRotation.services = aServices;
    aRotation.currentWeights.assign(aServices.size(), 0.0);
    for (auto n = randomIndex(aRandom, kStartPositions); n > 0; --n) {
      advance(aRotation);
    }
  }

  std::unordered_map<std::string, Rotation> mRotations; ///< by route name
};

} // namespace masticwall
