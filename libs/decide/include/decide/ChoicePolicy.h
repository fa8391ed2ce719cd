#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall {

/** How an upstream is chosen among those that may take a call. */
enum class ChoicePolicy : std::uint8_t
{
  Random,
  FewestInFlight,
  AgedLoad,
  SlotShare,
  EstimatedLatency,
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
