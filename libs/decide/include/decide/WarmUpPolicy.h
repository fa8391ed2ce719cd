#pragma once

#include <decide/Service.h>
#include <decide/WarmUpTolerance.h>

namespace masticwall {

/**
 * How many requests the cold upstreams of a service are given, from all VMs together.
 *
 * The load that this answers: two VMs that issue permits for the same upstream for a
 * while, as each of them has lost the other, or has another list of VMs. Both together
 * issue what the operator tolerates in a second, so that nothing has to be agreed; more
 * may arrive in a second in which permits of the one before are used as well.
 */
struct WarmUpPolicy
{
  double perSecond = 0.0; ///< permits that are issued; 0: cold upstreams are not limited
  Duration time{ 0 };     ///< for which an upstream is cold at most; 0: unknown

  static WarmUpPolicy of(const Service& aService, const WarmUpTolerance& aTolerance);

  bool isLimiting() const { return perSecond > 0.0; }
  bool operator==(const WarmUpPolicy&) const = default;
};

} // namespace masticwall
