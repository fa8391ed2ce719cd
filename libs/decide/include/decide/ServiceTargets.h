#pragma once

#include <array>
#include <decide/Route.h>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticwall {

/**
 * Index of the lowest latency target for each service and rank, over all routes to the
 * service. Immutable once constructed.
 */
class ServiceTargets
{
public:
  ServiceTargets() = default;
  explicit ServiceTargets(const std::vector<Route>& aRoutes);

  /**
   * The lowest latency target of the ranks more urgent than `aRank`, without `aRank`
   * itself; Duration::max() if they have none.
   */
  Duration lowestMoreUrgentTarget(const std::string& aService, Rank aRank) const;

private:
  using TargetsByRank = std::array<Duration, kRankCount>;

  void addTarget(const std::string& aService, const Route& aRoute);

  std::unordered_map<std::string, TargetsByRank> mTargets; ///< by service
};

} // namespace masticwall
