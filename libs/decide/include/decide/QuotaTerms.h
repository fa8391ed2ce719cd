#pragma once

#include <core/Time.h>
#include <decide/QuotaTolerance.h>
#include <decide/Tenant.h>
#include <optional>

namespace masticwall {

/**
 * How a tenant's quota is issued as permits, each for one call, so that the calls of all
 * VMs in each window keep within the quota and its tolerance. The tolerance is divided
 * between permits that are used late, credit that a new issuer starts with, and VMs that
 * reach no issuer.
 */
struct QuotaTerms
{
  double perSecond = 0.0; ///< permits that are issued
  double capacity = 1.0;  ///< the most credit that is kept, in permits
  double initial = 1.0;   ///< credit of a new issuer: another may have issued until now
  /** Permits a second that all VMs without an issuer use, and an issuer without contact
   * likewise. */
  double perSecondAlone = 0.0;
  Duration stockLifetime{ 100ms }; ///< of a permit that a VM holds for calls to come
  Duration callLifetime{ 200ms };  ///< of a permit that a call holds before it is sent

  /** Empty if the tenant has no limit: its rate is not above zero, or no number. */
  static std::optional<QuotaTerms> of(const Tenant& aTenant,
                                      const QuotaTolerance& aTolerance);
};

/** False if the rate or burst is negative or no number. A bad rate is no limit, a bad
 * burst none. */
bool
hasValidQuota(const Tenant& aTenant);

} // namespace masticwall
