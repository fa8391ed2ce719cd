#include <catch2/catch.hpp>
#include <decide/PermitIssuers.h>
#include <set>

using namespace masticwall;

namespace {

VmList
makeMembers(int aPerDataCentre, const std::vector<std::string>& aDataCentres)
{
  VmList members;
  for (const auto& dataCentre : aDataCentres) {
    for (int i = 0; i < aPerDataCentre; ++i) {
      Vm vm;
      vm.name = "front-" + dataCentre + std::to_string(i);
      vm.role = VmRole::Masticwall;
      vm.dataCentre = dataCentre;
      vm.region = dataCentre.substr(0, 1); // "a1" and "a2" are in "a"
      members.push_back(vm);
    }
  }
  return members;
}

UpstreamAddress
makeUpstream(int aIndex, const std::string& aDataCentre)
{
  UpstreamAddress upstream;
  upstream.name = "i-" + std::to_string(aIndex);
  upstream.dataCentre = aDataCentre;
  upstream.region = aDataCentre.substr(0, 1);
  return upstream;
}

} // namespace

TEST_CASE("issuers are two VMs of the upstream's data centre, spread over its VMs")
{
  auto members = makeMembers(4, { "a1", "a2", "b1" });
  std::set<std::string> first;
  for (int i = 0; i < 100; ++i) {
    const auto issuers = permitIssuersOf(makeUpstream(i, "a1"), members);
    REQUIRE(issuers.size() == 2);
    CHECK(issuers[0].name != issuers[1].name);
    CHECK(issuers[0].dataCentre == "a1");
    CHECK(issuers[1].dataCentre == "a1");
    first.insert(issuers[0].name);
  }
  CHECK(first.size() == 4);
}

TEST_CASE("without VMs in the data centre, issuers are in its region, or anywhere")
{
  const auto members = makeMembers(1, { "a1", "b1" });
  const auto issuers = permitIssuersOf(makeUpstream(1, "a2"), members);
  REQUIRE(issuers.size() == 2);
  CHECK(issuers[0].dataCentre == "a1");
  CHECK(issuers[1].dataCentre == "b1");
  CHECK(permitIssuersOf(makeUpstream(1, "a1"), {}).empty());
}

TEST_CASE("when the first issuer is taken off the list, the second one takes its place")
{
  auto members = makeMembers(8, { "a1" });
  const auto upstream = makeUpstream(1, "a1");
  const auto before = permitIssuersOf(upstream, members);
  std::erase_if(members, [&](const Vm& aVm) { return aVm.name == before[0].name; });
  CHECK(permitIssuersOf(upstream, members)[0].name == before[1].name);
}
