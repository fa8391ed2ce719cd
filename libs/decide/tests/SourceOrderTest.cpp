#include <catch2/catch.hpp>
#include <decide/SourceOrder.h>
#include <map>
#include <set>

using namespace masticwall;

namespace {

VmList
makeVms(int aCount, const std::vector<std::string>& aRegions)
{
  VmList list;
  for (int i = 0; i < aCount; ++i) {
    Vm vm;
    vm.role = VmRole::Masticwall;
    vm.name = std::to_string(i);
    vm.region = aRegions[static_cast<std::size_t>(i) % aRegions.size()];
    list.push_back(vm);
  }
  return list;
}

} // namespace

TEST_CASE("one VM reads the source, and each region's first is fed by another region's")
{
  const auto vms = makeVms(125, { "a", "b", "c" });
  int readers = 0;
  std::set<std::string> crossing;
  for (const auto& it : vms) {
    const auto sources = sourcesOf(it.name, vms);
    readers += sources.empty() ? 1 : 0;
    if (!sources.empty() && sources[0].region != it.region) {
      crossing.insert(it.region);
      CHECK(sourcesOf(sources[0].name, vms).size() < sources.size());
    }
  }
  CHECK(readers == 1);
  CHECK(crossing.size() == 2);
}

TEST_CASE("no VM is among its own sources' sources")
{
  const auto vms = makeVms(24, { "a", "b" });
  std::map<std::string, std::set<std::string>> sources;
  for (const auto& it : vms) {
    for (const auto& source : sourcesOf(it.name, vms)) {
      sources[it.name].insert(source.name);
    }
  }
  for (const auto& [name, names] : sources) {
    for (const auto& source : names) {
      CHECK(sources[source].count(name) == 0);
    }
  }
}

TEST_CASE("a VM that is not listed itself has no sources")
{
  CHECK(sourcesOf("new", makeVms(3, { "a" })).empty());
}
