#pragma once

#include <decide/QuotaGrant.h>
#include <decide/QuotaRequest.h>
#include <decide/QuotaTerms.h>
#include <map>

namespace masticwall {

/**
 * Issues the permits of tenants' quotas to all VMs. At any time one VM does this for a
 * tenant; see quotaIssuersOf(). Not thread-safe.
 *
 * The load that this answers: tenants of 0.1 to 2,000 calls a second whose share for one
 * of hundreds of VMs is often below one call, and that may send all their calls to one
 * VM. The credit lies in one place, so that it goes to whichever VM has calls. While it
 * is scarce, calls that wait come before those that are only expected, and VMs pause
 * longer the more they are.
 */
class QuotaIssuer
{
public:
  /** `aIsAlone`: this VM has no contact to others, so another one may issue as well. */
  QuotaGrant issue(const QuotaRequest& aRequest,
                   const QuotaTerms& aTerms,
                   bool aIsAlone,
                   Instant aNow);

  /** Forgets tenants for which no permit was requested lately. */
  void removeUnused(Instant aNow);

  /** Begins anew, with the credit of a new issuer. */
  void clear() { mAccounts.clear(); }

  std::size_t size() const { return mAccounts.size(); }

private:
  struct Account
  {
    double perSecond = 0.0;
    double credit = 0.0;   ///< in permits
    double unmet = 0.0;    ///< calls that were refused lately
    double requests = 0.0; ///< in the last second or so
    Duration pause{ 0 };   ///< for VMs that get too few permits
    Instant refilledAt;
    Instant pauseSetAt;

    void refill(Instant aNow, double aCapacity);
    void adaptPause(Instant aNow);
  };

  std::map<std::string, Account> mAccounts; ///< by tenant
};

} // namespace masticwall
