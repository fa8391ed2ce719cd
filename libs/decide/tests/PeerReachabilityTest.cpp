#include <catch2/catch.hpp>
#include <decide/PeerReachability.h>

using namespace masticwall;

namespace {

VmList
makeVms(const std::vector<std::string>& aNames)
{
  VmList list;
  for (const auto& it : aNames) {
    Vm vm;
    vm.name = it;
    vm.role = VmRole::Masticwall;
    list.push_back(vm);
  }
  return list;
}

} // namespace

TEST_CASE("a VM counts as replying from its reply to the next failure")
{
  const auto vms = makeVms({ "a", "b", "c" });
  const Instant start{ std::chrono::hours(1) };
  PeerReachability reachability;
  CHECK(reachability.countReplying(vms) == 0);
  reachability.recordReply("a");
  reachability.recordReply("b");
  CHECK(reachability.countReplying(vms) == 2);
  reachability.recordFailure("a", start);
  CHECK(reachability.countReplying(vms) == 1);
  reachability.recordReply("a");
  CHECK(reachability.countReplying(vms) == 2);
}

TEST_CASE("a VM is absent after failures over a longer time than a restart takes")
{
  const auto vms = makeVms({ "a", "b" });
  const Instant start{ std::chrono::hours(1) };
  PeerReachability reachability;
  for (int i = 0; i < 10; ++i) {
    reachability.recordFailure("a", start + i * 100ms);
  }
  CHECK_FALSE(reachability.isAbsent("a"));
  reachability.recordFailure("a", start + 2s);
  CHECK(reachability.isAbsent("a"));
  CHECK_FALSE(reachability.isAbsent("b"));
  REQUIRE(reachability.presentOf(vms).size() == 1);
  CHECK(reachability.presentOf(vms)[0].name == "b");
  REQUIRE(reachability.absentOf(vms).size() == 1);
  CHECK(reachability.absentOf(vms)[0].name == "a");
  reachability.recordReply("a");
  CHECK_FALSE(reachability.isAbsent("a"));
}

TEST_CASE("two failures long after each other don't make a VM absent")
{
  const Instant start{ std::chrono::hours(1) };
  PeerReachability reachability;
  reachability.recordFailure("a", start);
  reachability.recordFailure("a", start + std::chrono::minutes(10));
  CHECK_FALSE(reachability.isAbsent("a"));
}

TEST_CASE("a VM that is no longer listed is forgotten")
{
  const Instant start{ std::chrono::hours(1) };
  PeerReachability reachability;
  for (int i = 0; i < 4; ++i) {
    reachability.recordFailure("a", start + i * 1s);
  }
  REQUIRE(reachability.isAbsent("a"));
  reachability.retain(makeVms({ "b" }));
  CHECK_FALSE(reachability.isAbsent("a"));
}
