#pragma once

#include "SoakFault.h"
#include <core/Time.h>
#include <string>
#include <vector>

namespace masticwall::test {

/** One fault of a soak. */
struct ScheduledFault
{
  Duration at{ 0 }; ///< from the start of traffic
  Duration lasts{ 0 };
  SoakFault kind = SoakFault::ChangeConfig;
  int target = 0; ///< index of the gateway or upstream
};

/** All that a soak does, drawn by its seed. */
struct SoakPlan
{
  std::uint64_t seed = 1;
  int gateways = 3;
  int upstreams = 5;
  int callers = 24;
  Duration length{ 30s };             ///< of the faults; traffic goes on for a while
  std::vector<ScheduledFault> faults; ///< by time

  /** Draws the faults. `aProcesses` gateways and upstreams together, at least 4. */
  static SoakPlan draw(std::uint64_t aSeed, int aProcesses, Duration aLength);

  /** The plan without the fault at `aIndex`. */
  SoakPlan without(std::size_t aIndex) const;

  /** One line for each fault. */
  std::string describe() const;
};

} // namespace masticwall::test
