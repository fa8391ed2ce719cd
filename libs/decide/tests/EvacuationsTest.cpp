#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/Evacuations.h>

using namespace masticwall;
using namespace masticwall::test;

namespace {

using Names = DataCentreNames;
using List = std::vector<Evacuation>;

/** One VM's knowledge. */
struct VmView
{
  explicit VmView(const ManualClock& aClock)
    : clock(aClock)
  {
  }

  void read(const List& aList) { evacuations.merge(aList, clock.now(), clock.now()); }

  /** A peer's list arrives that was read `aAge` ago. */
  void hear(const List& aList, Duration aAge)
  {
    evacuations.merge(aList, clock.now() - aAge, clock.now());
  }

  Names current() const { return evacuations.current(clock.now()); }

  const ManualClock& clock;
  Evacuations evacuations;
};

} // namespace

TEST_CASE("evacuations begin at once, overlap, repeat, and end when taken back")
{
  ManualClock clock;
  VmView vm(clock);
  CHECK_FALSE(vm.evacuations.isKnown());
  vm.read({});
  CHECK(vm.evacuations.isKnown());
  CHECK(vm.current().empty());
  clock.advance(650ms);
  vm.read({ { "a" } });
  CHECK(vm.current() == Names{ "a" });
  clock.advance(650ms);
  vm.read({ { "a" }, { "b" } });
  vm.read({ { "b" }, { "a" }, { "a" } });
  CHECK(vm.current() == Names{ "a", "b" });
  clock.advance(1300ms);
  vm.read({ { "b" } });
  CHECK(vm.current() == Names{ "b" });
  clock.advance(1300ms);
  vm.read({});
  CHECK(vm.current().empty());
  vm.read({ { "a" } });
  CHECK(vm.current() == Names{ "a" });
}

TEST_CASE("a list that was read earlier does not undo an evacuation")
{
  ManualClock clock;
  VmView vm(clock);
  vm.read({});
  clock.advance(2s);
  vm.read({ { "a" } });
  clock.advance(10ms);
  vm.hear({}, 2s);
  CHECK(vm.current() == Names{ "a" });
  // Its way here took 900 ms, so that it seems to have been read later than it was.
  vm.hear({}, 0ms);
  CHECK(vm.current() == Names{ "a" });
  clock.advance(990ms);
  vm.hear({}, 0ms);
  CHECK(vm.current().empty());
}

TEST_CASE("a list that was read earlier does not bring an evacuation back")
{
  ManualClock clock;
  VmView vm(clock);
  vm.read({ { "a" } });
  clock.advance(2s);
  vm.read({});
  clock.advance(100ms);
  vm.hear({ { "a" } }, 1s);
  CHECK(vm.current().empty());
}

TEST_CASE("a VM that starts knows what its peers know, however old that is")
{
  ManualClock clock;
  VmView vm(clock);
  vm.hear({ { "a" } }, 1800s);
  CHECK(vm.current() == Names{ "a" });
  clock.advance(1s);
  vm.hear({ { "a" } }, 1801s);
  CHECK(vm.current() == Names{ "a" });
}

TEST_CASE("an evacuation that an older copy lacks is kept for a bounded time")
{
  ManualClock clock;
  VmView vm(clock);
  vm.read({ { "a" }, { "b" } });
  clock.advance(650ms);
  vm.evacuations.onRestored(clock.now());
  vm.read({ { "b" } });
  CHECK(vm.evacuations.kept(clock.now()).empty()); // not yet certain
  clock.advance(2s);
  vm.read({ { "b" } });
  CHECK(vm.current() == Names{ "a", "b" });
  CHECK(vm.evacuations.kept(clock.now()) == Names{ "a" });

  SECTION("until the time is over")
  {
    clock.advance(Evacuations::kKeptAfterRestore - 2001ms);
    vm.read({ { "b" } });
    CHECK(vm.current() == Names{ "a", "b" });
    clock.advance(1ms);
    CHECK(vm.current() == Names{ "b" });
    // Nor do others bring it back, who may have learned of the copy later.
    vm.hear({ { "a", 3s } }, 0ms);
    CHECK(vm.current() == Names{ "b" });
  }
  SECTION("until it is written anew and taken back")
  {
    vm.read({ { "a" }, { "b" } });
    CHECK(vm.evacuations.kept(clock.now()).empty());
    clock.advance(1300ms);
    vm.read({ { "b" } });
    CHECK(vm.current() == Names{ "b" });
  }
  SECTION("and for VMs that start meanwhile, the rest of the time")
  {
    VmView started(clock);
    started.read({ { "b" } });
    started.hear(vm.evacuations.list(clock.now()), 100ms);
    CHECK(started.current() == Names{ "a", "b" });
    clock.advance(Evacuations::kKeptAfterRestore - 2001ms);
    started.read({ { "b" } });
    CHECK(started.current() == Names{ "a", "b" });
    clock.advance(1ms);
    CHECK(started.current() == Names{ "b" });
  }
}

TEST_CASE("a list from before the restoration does not make a kept evacuation listed")
{
  ManualClock clock;
  VmView vm(clock);
  vm.read({ { "a" } });
  clock.advance(650ms);
  vm.evacuations.onRestored(clock.now());
  vm.read({});
  clock.advance(300ms);
  vm.hear({ { "a" } }, 0ms); // read before, but 400 ms on its way
  clock.advance(2s);
  vm.read({});
  CHECK(vm.current() == Names{ "a" });
}

TEST_CASE("two VMs that tell each other of a kept evacuation do not prolong it")
{
  ManualClock clock;
  VmView left(clock);
  VmView right(clock);
  for (auto* const it : { &left, &right }) {
    it->read({ { "a" } });
    it->evacuations.onRestored(clock.now());
  }
  const auto end = clock.now() + Evacuations::kKeptAfterRestore;
  while (clock.now() < end + 5s) {
    const auto toRight = left.evacuations.list(clock.now());
    const auto toLeft = right.evacuations.list(clock.now());
    CHECK(left.current().empty() == (clock.now() >= end));
    clock.advance(50ms);
    right.hear(toRight, 50ms);
    left.hear(toLeft, 50ms);
  }
}
