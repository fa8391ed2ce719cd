#include <algorithm>
#include <decide/PermitIssuers.h>
#include <decide/RendezvousHash.h>

namespace masticwall {

namespace {

constexpr std::size_t kIssuers = 2;

/** Moves VMs from `aFrom` to `aTo` in the order of their hashes until it has kIssuers. */
void
moveIssuers(std::string_view aKey, std::vector<const Vm*>& aFrom, VmList& aTo)
{
  while (!aFrom.empty() && aTo.size() < kIssuers) {
    std::vector<std::string_view> names;
    names.reserve(aFrom.size());
    for (const auto* const it : aFrom) {
      names.push_back(it->name);
    }
    const auto owner =
      aFrom.begin() + static_cast<std::ptrdiff_t>(rendezvousOwner(aKey, names));
    aTo.push_back(**owner);
    aFrom.erase(owner);
  }
}

} // namespace

VmList
permitIssuersOf(const UpstreamAddress& aUpstream, const VmList& aMembers)
{
  std::vector<const Vm*> sameDataCentre;
  std::vector<const Vm*> sameRegion;
  std::vector<const Vm*> others;
  for (const auto& it : aMembers) {
    if (it.region != aUpstream.region) {
      others.push_back(&it);
    } else if (it.dataCentre != aUpstream.dataCentre) {
      sameRegion.push_back(&it);
    } else {
      sameDataCentre.push_back(&it);
    }
  }
  VmList issuers;
  for (auto* const it : { &sameDataCentre, &sameRegion, &others }) {
    moveIssuers(aUpstream.name, *it, issuers);
  }
  return issuers;
}

} // namespace masticwall
