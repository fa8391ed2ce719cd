#pragma once

#include <decide/Route.h>
#include <decide/Tenant.h>

namespace masticwall {

/** The rank of a call: its tenant's, if that has one, goes before its route's.
 * `aTenant` is null if the call has none. */
inline Rank
callRank(const Route& aRoute, const Tenant* aTenant)
{
  return aTenant == nullptr ? aRoute.rank : aTenant->rank.value_or(aRoute.rank);
}

} // namespace masticwall
