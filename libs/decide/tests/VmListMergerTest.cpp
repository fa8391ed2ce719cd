#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/VmListMerger.h>

using namespace masticwall;

namespace {

Vm
upstream(const std::string& aName, const std::string& aInstance = "1")
{
  Vm vm;
  vm.name = aName;
  vm.instance = aInstance;
  return vm;
}

std::vector<std::string>
namesOf(const VmList& aList)
{
  std::vector<std::string> names;
  for (const auto& it : aList) {
    names.push_back(it.name);
  }
  return names;
}

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("in a new era missing upstreams and masticwall VMs are retained")
{
  test::ManualClock time;
  VmListMerger merger;
  VmList known{ upstream("a"), upstream("front-1") };
  known[1].role = VmRole::Masticwall;
  const auto recently = time.now() - 600ms;
  CHECK(merger.mergeFromSource(known, {}, recently, time.now()).empty());
  merger.onRestored(time.now());
  const auto merged = merger.mergeFromSource(known, {}, recently, time.now());
  REQUIRE(merged.size() == 2);
  CHECK(merged[0].isRetained);
  CHECK(merger.mergeFromPeer(known, merged, recently, time.now()).size() == 2);
  time.advance(2s);
  CHECK(merger.mergeFromSource(known, {}, time.now() - 600ms, time.now()).size() == 1);
  time.advance(11s);
  CHECK(merger.mergeFromSource(known, {}, time.now() - 600ms, time.now()).empty());
}

TEST_CASE(
  "without an outage, an upstream that the source no longer lists is removed at once")
{
  test::ManualClock time;
  VmListMerger merger;
  const VmList known{ upstream("a"), upstream("b") };
  const auto list =
    merger.mergeFromSource(known, { upstream("a") }, time.now() - 600ms, time.now());
  CHECK(namesOf(list) == Names{ "a" });
}

TEST_CASE(
  "after an outage of the source, missing upstreams are retained for a short time")
{
  test::ManualClock time;
  VmListMerger merger;
  const VmList known{ upstream("a"), upstream("b") };
  auto list =
    merger.mergeFromSource(known, { upstream("a") }, time.now() - 5s, time.now());
  REQUIRE(namesOf(list) == Names{ "a", "b" });
  CHECK(list[1].isRetained);
  const auto last = time.now();
  time.advance(1600ms);
  list = merger.mergeFromSource(list, { upstream("a") }, last + 1000ms, time.now());
  CHECK(namesOf(list) == Names{ "a", "b" });
  time.advance(200ms);
  list = merger.mergeFromSource(list, { upstream("a") }, last + 1600ms, time.now());
  CHECK(namesOf(list) == Names{ "a" });
}

TEST_CASE(
  "an instance remains marked as leaving, a new instance of the upstream does not")
{
  test::ManualClock time;
  VmListMerger merger;
  VmList known{ upstream("a"), upstream("b") };
  known[0].leaving = true;
  known[1].leaving = true;
  const auto list = merger.mergeFromSource(
    known, { upstream("a"), upstream("b", "2") }, time.now() - 600ms, time.now());
  CHECK(list[0].leaving);
  CHECK_FALSE(list[1].leaving);
}

TEST_CASE("an entry retained by another VM is not accepted if this VM no longer lists it")
{
  // After ten seconds without the source, a VM sends a list that retains an upstream
  // which has drained and terminated meanwhile.
  VmList received{ upstream("a"), upstream("terminated"), upstream("retained") };
  received[1].isRetained = true;
  received[2].isRetained = true;
  const VmList known{ upstream("a"), upstream("retained") };
  const test::ManualClock time;
  const auto beforeOutage = time.now() - 5s;
  CHECK(namesOf(VmListMerger().mergeFromPeer(
          known, received, beforeOutage, time.now())) == Names{ "a", "retained" });
  CHECK(namesOf(VmListMerger().mergeFromPeer({}, received, beforeOutage, time.now())) ==
        Names{ "a", "terminated", "retained" });
}

TEST_CASE("a VM that never lost the source drops an entry retained by another VM")
{
  // One VM loses the source for nine seconds, and an upstream terminates near the end of
  // them. If the other VMs, which read the source throughout, accepted the entry that
  // this VM retains, they would send calls to the upstream for two more seconds.
  const test::ManualClock time;
  VmList received{ upstream("a"), upstream("terminated") };
  received[1].isRetained = true;
  VmList known{ upstream("a"), upstream("terminated") };
  const auto recently = time.now() - 600ms;
  CHECK(namesOf(VmListMerger().mergeFromPeer(known, received, recently, time.now())) ==
        Names{ "a" });
  // Both VMs lost the source, and this one retains the entry already.
  known[1].isRetained = true;
  CHECK(namesOf(VmListMerger().mergeFromPeer(known, received, recently, time.now())) ==
        Names{ "a", "terminated" });
}

TEST_CASE("a list from another VM does not clear the mark of a leaving instance")
{
  VmList known{ upstream("a") };
  known[0].leaving = true;
  const test::ManualClock time;
  const auto list = VmListMerger().mergeFromPeer(
    known, { upstream("a") }, time.now() - 600ms, time.now());
  CHECK(list[0].leaving);
}
