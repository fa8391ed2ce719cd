#pragma once

#include <array>
#include <decide/Route.h>
#include <decide/Tenant.h>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticwall {

/**
 * Index of the lowest latency target for each service and rank, over all routes to the
 * service; a route counts for the ranks of tenants too. Immutable once constructed.
 */
class ServiceTargets
{
public:
  ServiceTargets() = default;
  explicit ServiceTargets(const std::vector<Route>& aRoutes,
                          const std::vector<Tenant>& aTenants = {});

  /**
   * The lowest latency target of the ranks more urgent than `aRank`, without `aRank`
   * itself; Duration::max() if they have none.
   */
  Duration lowestMoreUrgentTarget(const std::string& aService, Rank aRank) const;

private:
  using TargetsByRank = std::array<Duration, kRankCount>;

  using Ranks = std::set<Rank>;

  void addTarget(const std::string& aService,
                 const Route& aRoute,
                 const Ranks& aTenantRanks);

  std::unordered_map<std::string, TargetsByRank> mTargets; ///< by service
};

} // namespace masticwall
