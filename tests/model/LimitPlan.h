#pragma once

#include "LimitScenario.h"
#include "VirtualTime.h"

namespace masticwall::model {

/** What is played: one upstream with a request limit, and the VMs that call it. */
struct LimitPlan
{
  LimitScenario scenario = LimitScenario::Steady;
  int vms = 16;
  double perSecond = 5.0;  ///< the limit
  double callsPerVm = 4.0; ///< a second, on average
  std::uint64_t seed = 1;

  static constexpr double kSeconds = 60.0;
  static constexpr double kMiddle = 30.0;
  static constexpr double kLull = 10.0; ///< before kMiddle

  /** VMs from this one on are new, gone, or without peers, as the scenario says. */
  int firstOfSecondHalf() const { return vms / 2; }

  bool isRunning(int aVm, Instant aNow, Instant aStart) const
  {
    const bool isLate = aNow >= aStart + seconds(kMiddle);
    const bool isSecondHalf = aVm >= firstOfSecondHalf();
    return !(scenario == LimitScenario::HalfNew && isSecondHalf && !isLate) &&
           !(scenario == LimitScenario::HalfGone && isSecondHalf && isLate);
  }

  static constexpr bool kMayOverdraw = true;

  bool reaches(int aVm, int aOther, Instant, Instant) const
  {
    return reachesPeers(aVm) && reachesPeers(aOther);
  }

  bool reachesPeers(int aVm) const
  {
    return scenario != LimitScenario::HalfWithout || aVm < firstOfSecondHalf();
  }
};

} // namespace masticwall::model
