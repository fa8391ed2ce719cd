#pragma once

#include "ColdScenario.h"
#include "ModelIssuers.h"
#include "VirtualTime.h"
#include <decide/WarmUpPolicy.h>

namespace masticwall::model {

/** What is played: one upstream that becomes cold while VMs call it. */
struct ColdPlan
{
  /** `aService` and `aTolerance` give the rate of the permits. */
  ColdPlan(ColdScenario aScenario,
           int aVms,
           const Service& aService,
           const WarmUpTolerance& aTolerance)
    : scenario(aScenario)
    , vms(aVms)
    , perSecond(WarmUpPolicy::of(aService, aTolerance).perSecond)
    , issuer(indexOfVm(issuersAmong(aVms).front()))
  {
  }

  ColdScenario scenario;
  int vms;
  double perSecond; ///< permits that are issued
  int issuer;
  double warmPerSecond = 20.0; ///< calls that it gets in all before it is cold
  double offered = 60.0;       ///< calls a second that would go there while it is cold
  double blindShare = 0.3;     ///< calls before which its load is not queried
  std::uint64_t seed = 1;

  static constexpr bool kMayOverdraw = false;
  static constexpr double kSeconds = 16.0;
  static constexpr double kColdAt = 4.0; ///< until the end
  static constexpr double kFaultAt = 8.0;
  static constexpr double kRestartTime = 1.0;
  static constexpr double kFreezeTime = 3.0;
  static constexpr double kMaxListLag = 2.0;
  static constexpr Duration kPause = std::chrono::milliseconds(500);

  bool isOfSecondHalf(int aVm) const { return aVm % 2 != issuer % 2; }

  /** When a VM that does not run at `aNow` runs again; `aNow` if it does. */
  Instant runsAgainAt(int aVm, Instant aNow, Instant aStart) const
  {
    const auto faultAt = aStart + seconds(kFaultAt);
    const auto until = [&](double aTime) {
      const auto end = faultAt + seconds(aTime);
      return aNow >= faultAt && aNow < end ? end : aNow;
    };
    switch (scenario) {
      case ColdScenario::Restart:
        return isOfSecondHalf(aVm) ? until(kRestartTime) : aNow;
      case ColdScenario::Freeze:
        return isOfSecondHalf(aVm) ? until(kFreezeTime) : aNow;
      case ColdScenario::IssuerFrozen:
        return aVm == issuer ? until(kFreezeTime) : aNow;
      case ColdScenario::IssuerKilled:
        return aVm == issuer ? until(kSeconds) : aNow;
      case ColdScenario::Steady:
      case ColdScenario::IssuerDivided:
      case ColdScenario::Alone:
        break;
    }
    return aNow;
  }

  bool isRunning(int aVm, Instant aNow, Instant aStart) const
  {
    return runsAgainAt(aVm, aNow, aStart) == aNow;
  }

  bool reaches(int aVm, int aOther, Instant aNow, Instant aStart) const
  {
    const bool isDivided =
      scenario == ColdScenario::IssuerDivided && aNow >= aStart + seconds(kFaultAt);
    return reachesPeers(aVm) && reachesPeers(aOther) &&
           !(isDivided && isOfSecondHalf(aVm) && aOther == issuer);
  }

  bool reachesPeers(int aVm) const
  {
    return scenario != ColdScenario::Alone || !isOfSecondHalf(aVm);
  }
};

} // namespace masticwall::model
