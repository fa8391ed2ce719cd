#pragma once

#include "QuotaScenario.h"
#include "VirtualTime.h"
#include <decide/QuotaTerms.h>
#include <decide/Vm.h>

namespace masticwall::model {

/** What is played: one tenant with a quota, and the VMs that get its calls. */
struct QuotaPlan
{
  QuotaScenario scenario = QuotaScenario::Usual;
  int vms = 16;
  double perSecond = 5.0; ///< of the quota
  std::uint64_t seed = 1;

  static constexpr double kSeconds = 40.0;
  static constexpr double kMiddle = 20.0;
  static constexpr double kWindow = 5.0;

  Tenant tenant(bool aIsLowered = false) const
  {
    constexpr double kLowered = 0.2;
    Tenant tenant;
    tenant.name = "t-1";
    tenant.perSecond = (aIsLowered ? kLowered : 1.0) * perSecond;
    tenant.burst = 0.5 * tenant.perSecond;
    return tenant;
  }

  QuotaTolerance tolerance() const { return { seconds(kWindow), 0.1, 20.0 }; }

  /** The calls that may reach upstreams within a window. */
  double allowed(bool aIsLowered) const
  {
    const auto quota = tenant(aIsLowered);
    return (quota.perSecond * kWindow + quota.burst) * (1.0 + tolerance().over) +
           tolerance().slack;
  }

  /** Calls a second at `aAt`, in seconds. */
  double demandAt(double aAt) const
  {
    switch (scenario) {
      case QuotaScenario::Usual:
        return perSecond * 2.0 / 3.0;
      case QuotaScenario::Flood5:
        return perSecond / 3.0 * (aAt < kMiddle ? 1.0 : 5.0);
      case QuotaScenario::Flood20:
        return perSecond / 3.0 * (aAt < kMiddle ? 1.0 : 20.0);
      default:
        return 1.5 * perSecond;
    }
  }

  VmList members(bool aHasNew) const
  {
    constexpr int kLowestCapacity = 10;
    constexpr int kCapacities = 41;
    VmList members;
    const bool isHalf = scenario == QuotaScenario::HalfNew && !aHasNew;
    for (int i = 0; i < (isHalf ? vms / 2 : vms); ++i) {
      Vm vm;
      vm.name = std::to_string(i);
      vm.role = VmRole::Masticwall;
      vm.capacity = kLowestCapacity + (i * 7) % kCapacities;
      members.push_back(vm);
    }
    return members;
  }

  /** Between two VMs; every second one is in another region. */
  Duration oneWay(int aFrom, int aTo) const
  {
    constexpr Duration kNear = std::chrono::microseconds(400);
    constexpr Duration kFar = std::chrono::milliseconds(12);
    return aFrom % 2 == aTo % 2 ? kNear : kFar;
  }

  bool isRunning(int aVm, int aIssuer, double aAt) const
  {
    const bool isIssuer = aVm == aIssuer;
    switch (scenario) {
      case QuotaScenario::IssuerDies:
        return !isIssuer || aAt < kMiddle;
      case QuotaScenario::IssuerReturns:
        return !isIssuer || aAt < kMiddle || aAt >= kMiddle + 4.0;
      case QuotaScenario::HalfNew:
        return aVm < vms / 2 || aAt >= kMiddle;
      default:
        return true;
    }
  }

  bool isFrozen(int aVm, int aIssuer, double aAt) const
  {
    const auto since = aAt - kMiddle;
    return scenario == QuotaScenario::IssuerFreezes && aVm == aIssuer &&
           ((since >= 0.0 && since < 3.0) || (since >= 6.0 && since < 9.0));
  }

  bool isCut(int aVm, int aIssuer, double aAt) const
  {
    constexpr int kOneIn = 10;
    return scenario == QuotaScenario::SomeCut && aAt >= kMiddle && aAt < kMiddle + 8.0 &&
           (aVm == aIssuer || aVm % kOneIn == 0);
  }
};

} // namespace masticwall::model
