#pragma once

#include <core/Time.h>
#include <decide/QuotaIssuers.h>
#include <decide/QuotaRoute.h>
#include <map>
#include <unordered_map>

namespace masticwall {

/**
 * Decides which VM is asked for the permits of a tenant: the first of its issuers that
 * replies. Not thread-safe.
 *
 * The load that this answers: issuers that die, freeze or are cut off, noticed by some
 * VMs earlier than by others, or by some only. A substitute therefore asks the issuers
 * before it, again and again, and issues permits itself only while they don't reply to it
 * either.
 */
class QuotaRouter
{
public:
  explicit QuotaRouter(std::string aOwnVm)
    : mOwnVm(std::move(aOwnVm))
  {
  }

  /** To be called with each new list of VMs. */
  void setIssuers(QuotaIssuers aIssuers);

  /** `aIsRelayed`: for a request of another VM. */
  QuotaRoute routeFor(const std::string& aTenant, bool aIsRelayed, Instant aNow);

  /** A request by this route got no reply. */
  void recordLost(const QuotaRoute& aRoute, Instant aNow);
  void recordReply(const QuotaRoute& aRoute) { mSkips.erase(aRoute); }

private:
  struct Skip
  {
    int losses = 0; ///< requests in a row without a reply
    Instant until;
    Duration time{ 0 };
  };

  const std::vector<std::string>& issuersOf(const std::string& aTenant);
  bool isSkipped(const QuotaRoute& aRoute, Instant aNow) const;

  std::string mOwnVm;
  QuotaIssuers mIssuers;
  /** Names of the issuers by tenant, as far as they were used. */
  std::unordered_map<std::string, std::vector<std::string>> mIssuersOfTenants;
  std::map<QuotaRoute, Skip> mSkips; ///< that got no reply
};

} // namespace masticwall
