#pragma once

#include <cstddef>
#include <decide/Tenant.h>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace masticwall {

/**
 * The tenants that metrics name: those with the highest rates, one without a limit before
 * all others, in the configuration's order where they are equal. The load that this
 * answers: thousands of tenants, each of which would be a time series in every VM.
 */
class LargestTenants
{
public:
  static constexpr std::size_t kMaxTenants = 20;

  LargestTenants() = default;
  explicit LargestTenants(const std::vector<Tenant>& aTenants);

  /** The tenant's name, or "other" if it is none of the largest. */
  std::string_view labelOf(const Tenant& aTenant) const;

private:
  std::set<std::string, std::less<>> mNames;
};

} // namespace masticwall
