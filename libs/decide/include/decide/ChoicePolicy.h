#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** The load balancing policy: how an upstream is selected among the eligible ones. */
enum class ChoicePolicy : std::uint8_t
{
  Random,           ///< uniformly at random
  FewestInFlight,   ///< two random choices, compared by FewestInFlight
  AgedLoad,         ///< two random choices, compared by AgedLoad
  SlotShare,        ///< two random choices, compared by SlotShare
  EstimatedLatency, ///< the lowest EstimatedLatency of all, in any region
};

template<>
struct EnumTable<ChoicePolicy>
{
  static constexpr std::array<EnumName<ChoicePolicy>, 5> kEntries{ {
    { ChoicePolicy::Random, "random" },
    { ChoicePolicy::FewestInFlight, "fewest-in-flight" },
    { ChoicePolicy::AgedLoad, "aged-load" },
    { ChoicePolicy::SlotShare, "slot-share" },
    { ChoicePolicy::EstimatedLatency, "estimated-latency" },
  } };
};

} // namespace masticwall
