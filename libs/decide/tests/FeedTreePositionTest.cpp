#include <catch2/catch.hpp>
#include <decide/FeedTreePosition.h>
#include <map>
#include <set>

using namespace masticwall;

namespace {

/** Masticwall VMs spread over `aRegions` and data centres, "a0", "a1", ... in "a". */
VmList
makeVms(int aCount, const std::vector<std::string>& aRegions, int aCentres = 1)
{
  VmList list;
  const auto regions = static_cast<int>(aRegions.size());
  for (int i = 0; i < aCount; ++i) {
    Vm vm;
    vm.role = VmRole::Masticwall;
    vm.name = std::to_string(i);
    vm.region = aRegions[static_cast<std::size_t>(i % regions)];
    vm.dataCentre = vm.region + std::to_string(i / regions % aCentres);
    list.push_back(vm);
  }
  return list;
}

std::set<std::string>
namesOf(const VmList& aVms)
{
  std::set<std::string> names;
  for (const auto& it : aVms) {
    names.insert(it.name);
  }
  return names;
}

} // namespace

TEST_CASE(
  "one VM reads the source, and one VM in each other region is fed across regions")
{
  const auto vms = makeVms(125, { "a", "b", "c" }, 2);
  int readers = 0;
  std::multiset<std::string> regionsFedFromOutside;
  std::multiset<std::string> centresFedFromOutside;
  for (const auto& it : vms) {
    const auto feedCandidates = feedTreePositionOf(it, vms).feedCandidates;
    readers += feedCandidates.empty() ? 1 : 0;
    if (!feedCandidates.empty() && feedCandidates[0].region != it.region) {
      regionsFedFromOutside.insert(it.region);
    } else if (!feedCandidates.empty() && feedCandidates[0].dataCentre != it.dataCentre) {
      centresFedFromOutside.insert(it.dataCentre);
    }
  }
  CHECK(readers == 1);
  // Each change crosses a link between regions or data centres once.
  CHECK(regionsFedFromOutside.size() == 2);
  CHECK(std::set<std::string>(regionsFedFromOutside.begin(), regionsFedFromOutside.end())
          .size() == 2);
  CHECK(centresFedFromOutside.size() == 3);
  CHECK(std::set<std::string>(centresFedFromOutside.begin(), centresFedFromOutside.end())
          .size() == 3);
}

TEST_CASE("fan-out and depth stay bounded with 1000 VMs")
{
  const auto vms = makeVms(1000, { "a", "b" }, 2);
  std::map<std::string, int> childCounts;
  int maxDepth = 0;
  for (const auto& it : vms) {
    const auto position = feedTreePositionOf(it, vms);
    maxDepth = std::max(maxDepth, position.depth);
    if (!position.feedCandidates.empty()) {
      ++childCounts[position.feedCandidates[0].name];
    }
  }
  CHECK(childCounts.size() > 100);
  for (const auto& [name, count] : childCounts) {
    CHECK(count <= 10);
  }
  CHECK(maxDepth <= 5);
}

TEST_CASE("no VM is a feed candidate of its own candidates")
{
  const auto vms = makeVms(48, { "a", "b" }, 2);
  std::map<std::string, std::set<std::string>> feedCandidates;
  for (const auto& it : vms) {
    feedCandidates[it.name] = namesOf(feedTreePositionOf(it, vms).feedCandidates);
  }
  for (const auto& [name, names] : feedCandidates) {
    for (const auto& candidate : names) {
      CHECK(feedCandidates[candidate].count(name) == 0);
    }
  }
}

TEST_CASE("other VMs have a VM of the highest capacity and one nearby as candidates")
{
  auto vms = makeVms(40, { "a", "b" }, 2);
  for (std::size_t i = 36; i < vms.size(); ++i) {
    vms[i].capacity = 50;
  }
  for (const auto& it : vms) {
    const auto feedCandidates = feedTreePositionOf(it, vms).feedCandidates;
    if (it.capacity == 0) {
      CHECK(feedCandidates.size() >= 1);
      CHECK(feedCandidates.back().dataCentre == it.dataCentre);
      CHECK(std::any_of(feedCandidates.begin(), feedCandidates.end(), [](const Vm& aVm) {
        return aVm.capacity == 50;
      }));
    }
  }
}

TEST_CASE("a VM that is not in the list has the same position as if it were")
{
  const auto vms = makeVms(30, { "a" });
  const auto others = VmList(vms.begin() + 1, vms.end());
  CHECK(feedTreePositionOf(vms[0], others) == feedTreePositionOf(vms[0], vms));
  CHECK(feedTreePositionOf(vms[0], {}).feedCandidates.empty());
}
