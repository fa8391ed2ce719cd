#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** The load balancing policy: how an upstream is selected among the eligible ones. */
enum class LoadBalancingPolicy : std::uint8_t
{
  Random,           ///< uniformly at random
  FewestInFlight,   ///< two random choices, compared by FewestInFlight
  AgedLoad,         ///< two random choices, compared by AgedLoad
  SlotShare,        ///< two random choices, compared by SlotShare
  EstimatedLatency, ///< the lowest EstimatedLatency of all, in any region
};

template<>
struct EnumTable<LoadBalancingPolicy>
{
  static constexpr std::array<EnumName<LoadBalancingPolicy>, 5> kEntries{ {
    { LoadBalancingPolicy::Random, "random" },
    { LoadBalancingPolicy::FewestInFlight, "fewest-in-flight" },
    { LoadBalancingPolicy::AgedLoad, "aged-load" },
    { LoadBalancingPolicy::SlotShare, "slot-share" },
    { LoadBalancingPolicy::EstimatedLatency, "estimated-latency" },
  } };
};

} // namespace masticwall
