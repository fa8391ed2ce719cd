#include <algorithm>
#include <decide/ServiceTargets.h>

namespace masticwall {

ServiceTargets::ServiceTargets(const std::vector<Route>& aRoutes,
                               const std::vector<Tenant>& aTenants)
{
  Ranks tenantRanks;
  for (const auto& tenant : aTenants) {
    if (tenant.rank.has_value()) {
      tenantRanks.insert(*tenant.rank);
    }
  }
  for (const auto& route : aRoutes) {
    if (route.target == Duration{ 0 }) {
      continue;
    }
    if (route.split.empty()) {
      addTarget(route.service, route, tenantRanks);
    }
    for (const auto& part : route.split) {
      addTarget(part.service, route, tenantRanks);
    }
  }
}

Duration
ServiceTargets::lowestMoreUrgentTarget(const std::string& aService, Rank aRank) const
{
  const auto it = mTargets.find(aService);
  if (it == mTargets.end()) {
    return Duration::max();
  }
  // More urgent ranks come first.
  const auto end = it->second.begin() + static_cast<std::ptrdiff_t>(indexOf(aRank));
  return end == it->second.begin() ? Duration::max()
                                   : *std::min_element(it->second.begin(), end);
}

void
ServiceTargets::addTarget(const std::string& aService,
                          const Route& aRoute,
                          const Ranks& aTenantRanks)
{
  TargetsByRank noTargets;
  noTargets.fill(Duration::max());
  auto& targets = mTargets.try_emplace(aService, noTargets).first->second;
  const auto lower = [&](Rank aRank) {
    auto& target = targets[indexOf(aRank)];
    target = std::min(target, aRoute.target);
  };
  lower(aRoute.rank);
  std::for_each(aTenantRanks.begin(), aTenantRanks.end(), lower);
}

} // namespace masticwall
