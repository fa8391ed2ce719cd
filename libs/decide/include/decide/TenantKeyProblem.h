#pragma once

#include <cstddef>
#include <decide/TenantKeyFault.h>

namespace masticwall {

/** A fault in the keys of a tenant, without the key. Tenants are told by their position
 * in the preset. */
struct TenantKeyProblem
{
  TenantKeyFault fault = TenantKeyFault::None;
  std::size_t tenant = 0;
  std::size_t other =
    0; ///< that has the key too, for Shared; otherwise the tenant itself

  bool operator==(const TenantKeyProblem&) const = default;
};

} // namespace masticwall
