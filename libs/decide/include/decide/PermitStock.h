#pragma once

#include <array>
#include <core/Rank.h>
#include <core/Time.h>
#include <decide/PermitGrant.h>

namespace masticwall {

/**
 * The permits that one VM holds for an upstream with a request limit. They expire soon,
 * so that those that VMs hold after a lull don't add up. Not thread-safe.
 */
class PermitStock
{
public:
  /** Adds the permits that were granted to a request for calls of `aRank`, or records
   * that less urgent calls need not ask before the time that the grant names. */
  void add(const PermitGrant& aGrant, Rank aRank, Instant aNow);

  /** No permits are to be requested before `aUntil`. */
  void postponeRequests(Instant aUntil);

  bool isEmpty(Instant aNow) const { return mPermits == 0 || mExpiresAt <= aNow; }

  /** Takes one permit; false if there is none. */
  bool tryTake(Instant aNow);

  /** When permits may be requested for calls of `aRank`; maybe in the past. */
  Instant nextRequestAt(Rank aRank) const { return mNextRequestAt[indexOf(aRank)]; }

private:
  int mPermits = 0;
  Instant mExpiresAt;
  std::array<Instant, kRankCount> mNextRequestAt{};
};

} // namespace masticwall
