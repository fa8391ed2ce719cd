#include <algorithm>
#include <decide/SourceOrder.h>
#include <map>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace masticwall {

namespace {

/** VMs that one VM feeds in its data centre: few enough for the weakest. */
constexpr std::size_t kFanOut = 8;

/** Sources that are worth trying before a VM reads for itself. */
constexpr std::size_t kMostSources = 8;

std::uint64_t
hashOf(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

bool
isBefore(const Vm& aLeft, const Vm& aRight)
{
  if (aLeft.capacity != aRight.capacity) {
    return aLeft.capacity > aRight.capacity;
  }
  const auto left = hashOf(aLeft.name);
  const auto right = hashOf(aRight.name);
  return left != right ? left < right : aLeft.name < aRight.name;
}

/** The VMs of masticwall in each data centre of each region, in order. */
using Places = std::map<std::string, std::map<std::string, VmList>>;

Places
placesOf(const Vm& aOwn, const VmList& aVms)
{
  Places places;
  places[aOwn.region][aOwn.dataCentre].push_back(aOwn);
  for (const auto& it : aVms) {
    if (it.role == VmRole::Masticwall && it.name != aOwn.name) {
      places[it.region][it.dataCentre].push_back(it);
    }
  }
  for (auto& [region, centres] : places) {
    for (auto& [centre, vms] : centres) {
      std::sort(vms.begin(), vms.end(), isBefore);
    }
  }
  return places;
}

/** Its parents up to the root, the others ahead of it after them. */
SourceOrder
withinDataCentre(const VmList& aVms, std::size_t aIndex)
{
  SourceOrder order;
  order.ahead = aIndex;
  for (auto i = aIndex; i > 0;) {
    i = (i - 1) / kFanOut;
    order.sources.push_back(aVms[i]);
    ++order.depth;
  }
  for (std::size_t i = 0; i < aIndex && order.sources.size() < kMostSources; ++i) {
    const bool isParent =
      std::any_of(order.sources.begin(), order.sources.end(), [&](const Vm& aSource) {
        return aSource.name == aVms[i].name;
      });
    if (!isParent) {
      order.sources.push_back(aVms[i]);
    }
  }
  return order;
}

/** Those of `aRoots` that come before `aOwn`. */
SourceOrder
amongRoots(const Vm& aOwn, const VmList& aRoots)
{
  SourceOrder order;
  std::copy_if(aRoots.begin(),
               aRoots.end(),
               std::back_inserter(order.sources),
               [&](const Vm& aRoot) { return isBefore(aRoot, aOwn); });
  std::sort(order.sources.begin(), order.sources.end(), isBefore);
  order.ahead = order.sources.size();
  order.depth = order.sources.empty() ? 0 : 1;
  return order;
}

const Vm&
rootOf(const std::map<std::string, VmList>& aCentres)
{
  const auto it = std::min_element(
    aCentres.begin(), aCentres.end(), [](const auto& aLeft, const auto& aRight) {
      return isBefore(aLeft.second.front(), aRight.second.front());
    });
  return it->second.front();
}

} // namespace

SourceOrder
sourceOrderOf(const Vm& aOwn, const VmList& aVms)
{
  const auto places = placesOf(aOwn, aVms);
  VmList regionRoots;
  for (const auto& [region, centres] : places) {
    regionRoots.push_back(rootOf(centres));
  }
  VmList centreRoots;
  for (const auto& [centre, vms] : places.at(aOwn.region)) {
    centreRoots.push_back(vms.front());
  }
  const auto& regionRoot = rootOf(places.at(aOwn.region));
  auto ofRegions = amongRoots(regionRoot, regionRoots);
  if (aOwn.name == regionRoot.name) {
    return ofRegions;
  }
  const auto& neighbours = places.at(aOwn.region).at(aOwn.dataCentre);
  auto ofCentres = amongRoots(neighbours.front(), centreRoots);
  ofCentres.depth += ofRegions.depth;
  if (aOwn.name == neighbours.front().name) {
    return ofCentres;
  }
  const auto own = std::find_if(neighbours.begin(), neighbours.end(), [&](const Vm& aVm) {
    return aVm.name == aOwn.name;
  });
  auto order =
    withinDataCentre(neighbours, static_cast<std::size_t>(own - neighbours.begin()));
  order.depth += ofCentres.depth;
  return order;
}

} // namespace masticwall
