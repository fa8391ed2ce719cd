#include <algorithm>
#include <decide/FeedTreePosition.h>
#include <map>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace masticwall {

namespace {

/** Children of one VM in its data centre; few enough for the VM with least capacity. */
constexpr std::size_t kFanOut = 8;

/** Candidates in a data centre that are worth trying before reading the source itself. */
constexpr std::size_t kMaxCandidates = 8;

std::uint64_t
hashOf(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

/** Orders VMs by capacity, highest first, and then by a hash of their names. */
bool
isBetter(const Vm& aLeft, const Vm& aRight)
{
  if (aLeft.capacity != aRight.capacity) {
    return aLeft.capacity > aRight.capacity;
  }
  const auto left = hashOf(aLeft.name);
  const auto right = hashOf(aRight.name);
  return left != right ? left < right : aLeft.name < aRight.name;
}

/** The masticwall VMs by region and data centre, best first. */
using VmsByLocation = std::map<std::string, std::map<std::string, VmList>>;

VmsByLocation
groupByLocation(const Vm& aOwn, const VmList& aVms)
{
  VmsByLocation byLocation;
  byLocation[aOwn.region][aOwn.dataCentre].push_back(aOwn);
  for (const auto& it : aVms) {
    if (it.role == VmRole::Masticwall && it.name != aOwn.name) {
      byLocation[it.region][it.dataCentre].push_back(it);
    }
  }
  for (auto& [region, centres] : byLocation) {
    for (auto& [centre, vms] : centres) {
      std::sort(vms.begin(), vms.end(), isBetter);
    }
  }
  return byLocation;
}

/**
 * The position of the VM at `aIndex` in its data centre. Its candidates are its ancestors
 * up to the data centre's root, then other VMs that are better than it, best first.
 */
FeedTreePosition
positionInDataCentre(const VmList& aVms, std::size_t aIndex)
{
  FeedTreePosition position;
  position.vmsAhead = aIndex;
  for (auto i = aIndex; i > 0;) {
    i = (i - 1) / kFanOut;
    position.feedCandidates.push_back(aVms[i]);
    ++position.depth;
  }
  for (std::size_t i = 0; i < aIndex && position.feedCandidates.size() < kMaxCandidates;
       ++i) {
    const bool isAncestor =
      std::any_of(position.feedCandidates.begin(),
                  position.feedCandidates.end(),
                  [&](const Vm& aAncestor) { return aAncestor.name == aVms[i].name; });
    if (!isAncestor) {
      position.feedCandidates.push_back(aVms[i]);
    }
  }
  return position;
}

/** The position of `aOwn` among the roots: all better ones are its candidates. */
FeedTreePosition
positionAmongRoots(const Vm& aOwn, const VmList& aRoots)
{
  FeedTreePosition position;
  std::copy_if(aRoots.begin(),
               aRoots.end(),
               std::back_inserter(position.feedCandidates),
               [&](const Vm& aRoot) { return isBetter(aRoot, aOwn); });
  std::sort(position.feedCandidates.begin(), position.feedCandidates.end(), isBetter);
  position.vmsAhead = position.feedCandidates.size();
  position.depth = position.feedCandidates.empty() ? 0 : 1;
  return position;
}

/** The root of a region: the best of its data centres' roots. */
const Vm&
regionRootOf(const std::map<std::string, VmList>& aCentres)
{
  const auto it = std::min_element(
    aCentres.begin(), aCentres.end(), [](const auto& aLeft, const auto& aRight) {
      return isBetter(aLeft.second.front(), aRight.second.front());
    });
  return it->second.front();
}

} // namespace

FeedTreePosition
feedTreePositionOf(const Vm& aOwn, const VmList& aVms)
{
  const auto byLocation = groupByLocation(aOwn, aVms);
  VmList regionRoots;
  for (const auto& [region, centres] : byLocation) {
    regionRoots.push_back(regionRootOf(centres));
  }
  VmList centreRoots;
  for (const auto& [centre, vms] : byLocation.at(aOwn.region)) {
    centreRoots.push_back(vms.front());
  }
  const auto& regionRoot = regionRootOf(byLocation.at(aOwn.region));
  auto regionPosition = positionAmongRoots(regionRoot, regionRoots);
  if (aOwn.name == regionRoot.name) {
    return regionPosition;
  }
  const auto& centreVms = byLocation.at(aOwn.region).at(aOwn.dataCentre);
  auto centrePosition = positionAmongRoots(centreVms.front(), centreRoots);
  centrePosition.depth += regionPosition.depth;
  if (aOwn.name == centreVms.front().name) {
    return centrePosition;
  }
  const auto own = std::find_if(centreVms.begin(), centreVms.end(), [&](const Vm& aVm) {
    return aVm.name == aOwn.name;
  });
  auto position =
    positionInDataCentre(centreVms, static_cast<std::size_t>(own - centreVms.begin()));
  position.depth += centrePosition.depth;
  return position;
}

} // namespace masticwall
