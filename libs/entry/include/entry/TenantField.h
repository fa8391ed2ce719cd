#pragma once

#include <http/Header.h>
#include <string>

namespace masticwall {

/** What an upstream is told about the tenant of a call. */
struct TenantField
{
  /** The preset has a list of tenants, even an empty one: the caller's credentials, and
   * what it says itself about its tenant, are not passed on. */
  bool isUsed = false;
  std::string name{}; ///< empty: the call has no tenant
};

/** Takes the caller's credentials and its own fields named `aName` out of `aHeaders`, and
 * adds the field with the tenant's name, as `aTenant` asks for. */
void
replaceTenant(http::HeaderList& aHeaders,
              std::string_view aName,
              const TenantField& aTenant);

} // namespace masticwall
