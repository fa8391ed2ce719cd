#pragma once

#include <core/OrderedMutex.h>
#include <decide/QuotaStock.h>
#include <string>
#include <unordered_map>

namespace masticwall {

/**
 * The permits that this VM holds for tenants with a quota, by tenant's name, and the
 * calls that wait for some. Tenants without calls take no room. Thread-safe; lock level
 * Quota.
 */
class QuotaTable
{
public:
  struct Draw
  {
    QuotaVerdict verdict = QuotaVerdict::Refused;
    bool shouldRequest = false; ///< permits, from the issuer
    Duration retryAfter{ 0 };   ///< if refused
    Instant drawnUntil;         ///< if granted
  };

  /** The state of one tenant, for the state dump. */
  struct TenantState
  {
    std::string tenant;
    int permits = 0;
    std::size_t waiting = 0;    ///< calls
    std::uint64_t refusals = 0; ///< calls, since its stock was last unused for a minute
  };

  /** See QuotaStock::draw(). */
  Draw draw(const std::string& aTenant,
            std::uint64_t aCall,
            const QuotaTerms& aTerms,
            Instant aNow);

  /** See QuotaStock for these functions. */
  void giveBack(const std::string& aTenant, Instant aUntil, Instant aNow);
  std::optional<QuotaRequest> nextRequest(const std::string& aTenant,
                                          const QuotaTerms& aTerms,
                                          Instant aNow);
  QuotaDecisions add(const QuotaGrant& aGrant, const QuotaTerms& aTerms, Instant aNow);
  bool recordRefusal(const std::string& aTenant, Instant aNow);
  Duration retryAfter(const std::string& aTenant, Instant aNow) const;

  /** Forgets tenants that had no calls lately. */
  void removeUnused(Instant aNow);

  /** The tenants with the most refusals, `aCount` at most. */
  std::vector<TenantState> snapshot(std::size_t aCount) const;

private:
  mutable OrderedMutex mMutex{ LockLevel::Quota };
  std::unordered_map<std::string, QuotaStock> mStocks;
};

} // namespace masticwall
