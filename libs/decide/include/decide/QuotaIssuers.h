#pragma once

#include <decide/Vm.h>
#include <string_view>
#include <vector>

namespace masticwall {

/**
 * Which VMs issue the permits of tenants' quotas: for each tenant a first one, and those
 * that do so while the ones before do not reply. They are among the strongest VMs, as an
 * issuer serves requests of all VMs, and few enough for a connection from each VM to each
 * of them. All VMs with the same list get the same result. Immutable once constructed.
 */
class QuotaIssuers
{
public:
  QuotaIssuers() = default;

  /** `aMembers` are masticwall VMs. */
  explicit QuotaIssuers(const VmList& aMembers);

  /** The tenant's issuers, the first one first; fewer if there are not as many VMs. */
  VmList issuersOf(std::string_view aTenant) const;

  /** Whether the VM issues the permits of any tenant. */
  bool contains(std::string_view aVm) const;

private:
  VmList mStrongest; ///< by name
};

} // namespace masticwall
