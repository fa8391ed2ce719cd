#pragma once

#include <core/Rank.h>
#include <decide/AllowedRegions.h>
#include <optional>
#include <string>
#include <vector>

namespace masticwall {

/** A customer of the operator whose calls are told apart by the keys that they carry. */
struct Tenant
{
  std::string name;
  std::vector<std::string> keys;   ///< secrets: never logged or sent
  std::optional<Rank> rank{};      ///< goes before the route's; empty: the route's
  double perSecond = 0.0;          ///< calls, over all VMs; 0: no limit
  double burst = 0.0;              ///< calls at once, beyond that rate
  AllowedRegions allowedRegions{}; ///< beside the route's, which bind as well
};

} // namespace masticwall
