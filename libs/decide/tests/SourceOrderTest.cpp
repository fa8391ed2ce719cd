#include <catch2/catch.hpp>
#include <decide/SourceOrder.h>
#include <map>
#include <set>

using namespace masticwall;

namespace {

/** VMs spread over the data centres "a1", "a2", ... of regions "a", "b", ... */
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

TEST_CASE("one VM reads the source, and each region's first is fed by another region's")
{
  const auto vms = makeVms(125, { "a", "b", "c" }, 2);
  int readers = 0;
  std::multiset<std::string> regions;
  std::multiset<std::string> centres;
  for (const auto& it : vms) {
    const auto sources = sourceOrderOf(it, vms).sources;
    readers += sources.empty() ? 1 : 0;
    if (!sources.empty() && sources[0].region != it.region) {
      regions.insert(it.region);
    } else if (!sources.empty() && sources[0].dataCentre != it.dataCentre) {
      centres.insert(it.dataCentre);
    }
  }
  CHECK(readers == 1);
  // One copy of a change crosses each link.
  CHECK(regions.size() == 2);
  CHECK(std::set<std::string>(regions.begin(), regions.end()).size() == 2);
  CHECK(centres.size() == 3);
  CHECK(std::set<std::string>(centres.begin(), centres.end()).size() == 3);
}

TEST_CASE("no VM feeds many others, and news takes few steps, also at a thousand VMs")
{
  const auto vms = makeVms(1000, { "a", "b" }, 2);
  std::map<std::string, int> fed;
  int deepest = 0;
  for (const auto& it : vms) {
    const auto order = sourceOrderOf(it, vms);
    deepest = std::max(deepest, order.depth);
    if (!order.sources.empty()) {
      ++fed[order.sources[0].name];
    }
  }
  CHECK(fed.size() > 100);
  for (const auto& [name, count] : fed) {
    CHECK(count <= 10);
  }
  CHECK(deepest <= 5);
}

TEST_CASE("no VM is among its own sources' sources")
{
  const auto vms = makeVms(48, { "a", "b" }, 2);
  std::map<std::string, std::set<std::string>> sources;
  for (const auto& it : vms) {
    sources[it.name] = namesOf(sourceOrderOf(it, vms).sources);
  }
  for (const auto& [name, names] : sources) {
    for (const auto& source : names) {
      CHECK(sources[source].count(name) == 0);
    }
  }
}

TEST_CASE("the strongest VMs feed the others")
{
  auto vms = makeVms(40, { "a", "b" }, 2);
  for (std::size_t i = 36; i < vms.size(); ++i) {
    vms[i].capacity = 50;
  }
  for (const auto& it : vms) {
    const auto sources = sourceOrderOf(it, vms).sources;
    if (it.capacity == 0) {
      CHECK(sources.size() >= 1);
      CHECK(sources.back().dataCentre == it.dataCentre);
      CHECK(std::any_of(sources.begin(), sources.end(), [](const Vm& aVm) {
        return aVm.capacity == 50;
      }));
    }
  }
}

TEST_CASE("a VM that is not listed itself is fed as if it were")
{
  const auto vms = makeVms(30, { "a" });
  const auto others = VmList(vms.begin() + 1, vms.end());
  CHECK(sourceOrderOf(vms[0], others) == sourceOrderOf(vms[0], vms));
  CHECK(sourceOrderOf(vms[0], {}).sources.empty());
}
