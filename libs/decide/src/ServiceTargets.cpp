#include <algorithm>
#include <decide/ServiceTargets.h>

namespace masticwall {

ServiceTargets::ServiceTargets(const std::vector<Route>& aRoutes)
{
  for (const auto& route : aRoutes) {
    if (route.target == Duration{ 0 }) {
      continue;
    }
    if (route.split.empty()) {
      addTarget(route.service, route);
    }
    for (const auto& part : route.split) {
      addTarget(part.service, route);
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
ServiceTargets::addTarget(const std::string& aService, const Route& aRoute)
{
  TargetsByRank noTargets;
  noTargets.fill(Duration::max());
  auto& targets = mTargets.try_emplace(aService, noTargets).first->second;
  auto& target = targets[indexOf(aRoute.rank)];
  target = std::min(target, aRoute.target);
}

} // namespace masticwall
