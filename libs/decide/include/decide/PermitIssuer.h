#pragma once

#include <decide/PermitGrant.h>
#include <decide/PermitRequest.h>
#include <map>

namespace masticwall {

/**
 * Issues permits for requests to upstreams with a request limit, to all VMs. At any time
 * one VM does this for an upstream; see permitIssuersOf(). Not thread-safe.
 *
 * The load that this answers: limits of a few requests a second whose shares for hundreds
 * of VMs would be far below one request. The credit of all VMs lies in one place, so that
 * it adds up to whole requests, goes to the VMs that have calls, and is bounded after a
 * lull. Part of it is reserved for more urgent calls. An account starts without credit:
 * another VM may have issued permits until just now.
 *
 * While no other upstream has a slot free, somewhat more than the limit is issued, well
 * within what its users tolerate, as calls would otherwise be refused or late.
 */
class PermitIssuer
{
public:
  /** `aPart` of the limit is issued: 1, or kPartWithoutContact. */
  PermitGrant issue(const PermitRequest& aRequest, double aPart, Instant aNow);

  /** The limit for which an issuer issues up to `aBound` permits in any second, without
   * calls of last resort. May be negative. */
  static double rateForBound(double aBound);

  /** Forgets upstreams for which no permit was requested lately. */
  void removeUnused(Instant aNow);

  std::size_t size() const { return mAccounts.size(); }

private:
  struct Key
  {
    std::string name;
    std::string instance;
    auto operator<=>(const Key&) const = default;
  };

  struct Account
  {
    double limit = 0.0;     ///< as stated last, in requests a second
    double perSecond = 0.0; ///< permits that are issued
    double credit = 0.0;    ///< in permits
    double overdraft = 0.0; ///< further permits, for calls of last resort
    Instant limitStatedAt;
    Instant refilledAt;

    double capacity() const;
    void refill(Instant aNow);

    /** Takes up to `aWanted` whole permits above the reserve from the credit, or one from
     * the overdraft. */
    int take(int aWanted, double aReserve, bool aMayOverdraw);
  };

  std::map<Key, Account> mAccounts;
};

} // namespace masticwall
