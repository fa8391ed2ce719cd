#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <decide/KeyPolicy.h>
#include <decide/LargestTenants.h>
#include <decide/Limits.h>
#include <decide/LinkBudget.h>
#include <decide/ProbeBudget.h>
#include <decide/QuotaTolerance.h>
#include <decide/RankPolicy.h>
#include <decide/Route.h>
#include <decide/RouteIndex.h>
#include <decide/Service.h>
#include <decide/ServiceTargets.h>
#include <decide/Tenant.h>
#include <decide/TenantIndex.h>
#include <decide/WarmUpTolerance.h>
#include <optional>
#include <vector>

namespace masticwall {

/** A named configuration of the operator. Threads share the active, immutable one. */
struct Preset
{
  std::string name;

  /** Log offset, plus 1, of the last record that changed the configuration. */
  std::uint64_t version = 0;

  std::array<RankPolicy, kRankCount> ranks;
  Limits limits;
  ProbeBudget measuring; ///< for health probes and load queries
  LinkBudget link;       ///< for calls to other regions
  std::vector<Service> services;
  std::vector<Route> routes;

  /** Without a list, calls need no key. With an empty list no key is known, so that only
   * public routes let calls in. */
  std::optional<std::vector<Tenant>> tenants;
  KeyPolicy keys;
  QuotaTolerance quota;
  WarmUpTolerance warmUp;
  RouteIndex routeIndex;         ///< built from `routes` by indexRoutes()
  ServiceTargets targets;        ///< of latency; built likewise
  TenantIndex tenantIndex;       ///< built from `tenants` likewise
  LargestTenants largestTenants; ///< built likewise
  bool restrictsRegions = false; ///< some calls may run in some regions only; likewise

  /** The list of tenants, or an empty one if there is none. */
  const std::vector<Tenant>& listedTenants() const
  {
    static const std::vector<Tenant> sNone;
    return tenants.has_value() ? *tenants : sNone;
  }

  /** Builds the indices; call it after the last change to `routes` and
   * `tenants`. */
  void indexRoutes()
  {
    const auto& listed = listedTenants();
    routeIndex = RouteIndex(routes);
    targets = ServiceTargets(routes, listed);
    tenantIndex = TenantIndex(listed);
    largestTenants = LargestTenants(listed);
    const auto isRestricted = [](const auto& aIt) { return !aIt.allowedRegions.isAny(); };
    restrictsRegions = std::any_of(routes.begin(), routes.end(), isRestricted) ||
                       std::any_of(listed.begin(), listed.end(), isRestricted);
  }
};

} // namespace masticwall
