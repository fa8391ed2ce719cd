#include "VirtualTime.h"
#include <catch2/catch.hpp>
#include <decide/UpstreamHold.h>

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

TEST_CASE("an upstream that the source does not list any more is gone at once")
{
  test::VirtualTime time;
  UpstreamHold hold;
  const VmList known{ upstream("a"), upstream("b") };
  const auto list =
    hold.mergeRead(known, { upstream("a") }, time.now() - 600ms, time.now());
  CHECK(namesOf(list) == Names{ "a" });
}

TEST_CASE("after an outage of the source, missing upstreams are held for a while")
{
  test::VirtualTime time;
  UpstreamHold hold;
  const VmList known{ upstream("a"), upstream("b") };
  auto list = hold.mergeRead(known, { upstream("a") }, time.now() - 5s, time.now());
  REQUIRE(namesOf(list) == Names{ "a", "b" });
  CHECK(list[1].isHeld);
  const auto last = time.now();
  time.advance(1600ms);
  list = hold.mergeRead(list, { upstream("a") }, last + 1000ms, time.now());
  CHECK(namesOf(list) == Names{ "a", "b" });
  time.advance(200ms);
  list = hold.mergeRead(list, { upstream("a") }, last + 1600ms, time.now());
  CHECK(namesOf(list) == Names{ "a" });
}

TEST_CASE("an instance that was listed as leaving stays so, another start does not")
{
  test::VirtualTime time;
  UpstreamHold hold;
  VmList known{ upstream("a"), upstream("b") };
  known[0].leaving = true;
  known[1].leaving = true;
  const auto list = hold.mergeRead(
    known, { upstream("a"), upstream("b", "2") }, time.now() - 600ms, time.now());
  CHECK(list[0].leaving);
  CHECK_FALSE(list[1].leaving);
}

TEST_CASE("what another VM holds is not taken if it was gone here already")
{
  // A VM that was cut off for ten seconds read the source again and told of an upstream
  // that had drained and gone meanwhile.
  VmList told{ upstream("a"), upstream("gone"), upstream("held") };
  told[1].isHeld = true;
  told[2].isHeld = true;
  const VmList known{ upstream("a"), upstream("held") };
  const test::VirtualTime time;
  const auto away = time.now() - 5s;
  CHECK(namesOf(UpstreamHold::mergeTold(known, told, away, time.now())) ==
        Names{ "a", "held" });
  CHECK(namesOf(UpstreamHold::mergeTold({}, told, away, time.now())) ==
        Names{ "a", "gone", "held" });
}

TEST_CASE("an entry held elsewhere is gone for a VM that was never out of reach")
{
  // The store turned one VM away for nine seconds; an upstream left in the last of them,
  // and the others, which had read it all the while, used it for two seconds more.
  const test::VirtualTime time;
  VmList told{ upstream("a"), upstream("left") };
  told[1].isHeld = true;
  VmList known{ upstream("a"), upstream("left") };
  const auto lately = time.now() - 600ms;
  CHECK(namesOf(UpstreamHold::mergeTold(known, told, lately, time.now())) ==
        Names{ "a" });
  // Held here already, since an outage that both have seen.
  known[1].isHeld = true;
  CHECK(namesOf(UpstreamHold::mergeTold(known, told, lately, time.now())) ==
        Names{ "a", "left" });
}

TEST_CASE("another VM's word does not make a leaving upstream stay")
{
  VmList known{ upstream("a") };
  known[0].leaving = true;
  const test::VirtualTime time;
  const auto list =
    UpstreamHold::mergeTold(known, { upstream("a") }, time.now() - 600ms, time.now());
  CHECK(list[0].leaving);
}
