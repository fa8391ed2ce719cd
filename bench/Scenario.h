#pragma once

#include <core/EnumNames.h>
#include <cstdint>

namespace masticwall::bench {

/** What happens in a run of bench-policy. */
enum class Scenario : std::uint8_t
{
  Steady,       ///< 70% of capacity
  BulkFlood,    ///< bulk at 5 times capacity
  UrgentFlood,  ///< urgent at 5 times capacity
  OneSlow,      ///< one upstream slows tenfold
  OneFailsFast, ///< one upstream answers 500 at once
  ThreeDrain,   ///< three upstreams leave at once
  ColdStart,    ///< one upstream starts anew, cold
  LateReports,  ///< load reports are 500 ms old
  NoisyCaller,  ///< one caller sends twice the capacity in one rank
  LogOutage,    ///< the log hangs
  FloodAndSlow, ///< bulk flood and one upstream slowed tenfold
};

} // namespace masticwall::bench

template<>
struct masticwall::EnumTable<masticwall::bench::Scenario>
{
  using Scenario = masticwall::bench::Scenario;
  static constexpr std::array<EnumName<Scenario>, 11> kEntries{ {
    { Scenario::Steady, "steady" },
    { Scenario::BulkFlood, "bulk-flood" },
    { Scenario::UrgentFlood, "urgent-flood" },
    { Scenario::OneSlow, "one-slow" },
    { Scenario::OneFailsFast, "one-fails-fast" },
    { Scenario::ThreeDrain, "three-drain" },
    { Scenario::ColdStart, "cold-start" },
    { Scenario::LateReports, "late-reports" },
    { Scenario::NoisyCaller, "noisy-caller" },
    { Scenario::LogOutage, "log-outage" },
    { Scenario::FloodAndSlow, "flood-and-slow" },
  } };
};
