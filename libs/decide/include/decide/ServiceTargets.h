#pragma once

#include <array>
#include <decide/Route.h>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticwall {

/** The tightest latency targets that routes of each rank set for a service. */
class ServiceTargets
{
public:
  ServiceTargets() = default;
  explicit ServiceTargets(const std::vector<Route>& aRoutes);

  /** The tightest target of more urgent ranks; Duration::max() if there are none. */
  Duration tightestAbove(const std::string& aService, Rank aRank) const;

private:
  using ByRank = std::array<Duration, kRankCount>;

  void note(const std::string& aService, const Route& aRoute);

  std::unordered_map<std::string, ByRank> mTargets;
};

} // namespace masticwall
