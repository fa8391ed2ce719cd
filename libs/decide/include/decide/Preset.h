#pragma once

#include <array>
#include <cstdint>
#include <decide/Limits.h>
#include <decide/LinkBudget.h>
#include <decide/MeasuringBudget.h>
#include <decide/RankPolicy.h>
#include <decide/Route.h>
#include <decide/RouteIndex.h>
#include <decide/Service.h>
#include <decide/ServiceTargets.h>
#include <vector>

namespace masticwall {

/** The configuration in force: immutable once made, shared between threads. */
struct Preset
{
  std::string name;
  std::uint64_t version = 0; ///< offset of the last accepted record on the log, plus 1
  std::array<RankPolicy, kRankCount> ranks;
  Limits limits;
  MeasuringBudget measuring;
  LinkBudget link;
  std::vector<Service> services;
  std::vector<Route> routes;
  RouteIndex routeIndex;  ///< of `routes`; see indexRoutes()
  ServiceTargets targets; ///< of `routes`; likewise

  /** To be called once the routes are complete. */
  void indexRoutes()
  {
    routeIndex = RouteIndex(routes);
    targets = ServiceTargets(routes);
  }
};

} // namespace masticwall
