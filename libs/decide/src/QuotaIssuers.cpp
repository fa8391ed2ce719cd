#include <algorithm>
#include <decide/QuotaIssuers.h>
#include <decide/RendezvousHash.h>
#include <tuple>

namespace masticwall {

namespace {

/** Of one tenant: some VMs may be lost at once, and stay listed. */
constexpr std::size_t kIssuersOfTenant = 4;

/** Of all tenants. */
constexpr std::size_t kMaxIssuers = 32;

} // namespace

QuotaIssuers::QuotaIssuers(const VmList& aMembers)
{
  std::vector<const Vm*> vms;
  vms.reserve(aMembers.size());
  for (const auto& it : aMembers) {
    vms.push_back(&it);
  }
  const auto n = std::min(vms.size(), kMaxIssuers);
  std::partial_sort(vms.begin(),
                    vms.begin() + static_cast<std::ptrdiff_t>(n),
                    vms.end(),
                    [](const Vm* aLeft, const Vm* aRight) {
                      return std::tie(aRight->capacity, aLeft->name) <
                             std::tie(aLeft->capacity, aRight->name);
                    });
  for (std::size_t i = 0; i < n; ++i) {
    // The weak ones of a few VMs are no issuers either.
    if (2 * vms[i]->capacity >= vms.front()->capacity) {
      mStrongest.push_back(*vms[i]);
    }
  }
}

bool
QuotaIssuers::contains(std::string_view aVm) const
{
  return std::any_of(mStrongest.begin(), mStrongest.end(), [aVm](const Vm& aStrong) {
    return aStrong.name == aVm;
  });
}

VmList
QuotaIssuers::issuersOf(std::string_view aTenant) const
{
  std::vector<std::string_view> names;
  std::vector<const Vm*> vms;
  for (const auto& it : mStrongest) {
    names.push_back(it.name);
    vms.push_back(&it);
  }
  VmList issuers;
  while (!vms.empty() && issuers.size() < kIssuersOfTenant) {
    const auto owner = static_cast<std::ptrdiff_t>(rendezvousOwner(aTenant, names));
    issuers.push_back(*vms[static_cast<std::size_t>(owner)]);
    names.erase(names.begin() + owner);
    vms.erase(vms.begin() + owner);
  }
  return issuers;
}

} // namespace masticwall
