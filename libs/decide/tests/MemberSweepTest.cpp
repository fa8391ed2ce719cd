#include "ManualClock.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <decide/MemberSweep.h>
#include <decide/RetryAllowance.h>
#include <set>

using namespace masticwall;

namespace {

VmList
makeMembers(int aCount)
{
  VmList list;
  for (int i = 0; i < aCount; ++i) {
    Vm vm;
    vm.name = "front-" + std::to_string(i);
    vm.role = VmRole::Masticwall;
    list.push_back(vm);
  }
  return list;
}

/** Sweeps for `aTime`: those of `aGone` don't reply, and are taken off the list. */
void
sweep(MemberSweep& aSweep,
      VmList& aMembers,
      const std::set<std::string>& aGone,
      Duration aTime,
      test::ManualClock& aClock)
{
  for (const auto end = aClock.now() + aTime; aClock.now() < end;) {
    aClock.advance(MemberSweep::periodFor(aMembers.size()));
    const auto vm = aSweep.next(aMembers);
    REQUIRE(vm.has_value());
    if (aGone.count(vm->name) == 0) {
      aSweep.recordReply(vm->name);
    } else if (aSweep.recordFailure(vm->name, aClock.now())) {
      std::erase_if(aMembers, [&](const Vm& aVm) { return aVm.name == vm->name; });
    }
  }
}

} // namespace

TEST_CASE("each member is asked once in a round")
{
  MemberSweep sweep;
  const auto members = makeMembers(25);
  std::multiset<std::string> asked;
  for (int i = 0; i < 3 * 25; ++i) {
    asked.insert(sweep.next(members)->name);
  }
  for (const auto& it : members) {
    CHECK(asked.count(it.name) == 3);
  }
  CHECK_FALSE(sweep.next({}).has_value());
}

TEST_CASE("of 300 VMs the half that is gone is taken off, and is listed when it is back")
{
  constexpr int kVms = 300;
  test::ManualClock clock;
  MemberSweep state;
  const auto all = makeMembers(kVms);
  auto members = all;
  std::set<std::string> gone;
  for (int i = 0; i < kVms; i += 2) {
    gone.insert("front-" + std::to_string(i));
  }
  const auto retriesOfEach = [&] {
    Limits limits;
    limits.areSharedByAllVms = true;
    limits.retryBudget = 0.2;
    limits.retryBurst = 430;
    return RetryAllowance::of(limits, static_cast<int>(members.size()), 1).burst;
  };
  const auto before = retriesOfEach();
  sweep(state, members, {}, std::chrono::minutes(10), clock);
  CHECK(members.size() == kVms);
  sweep(state, members, gone, std::chrono::minutes(4), clock);
  CHECK(members.size() == kVms / 2);
  // The share of each follows those that live.
  CHECK(retriesOfEach() == Approx(2 * before));
  // They are back and list themselves.
  members = all;
  sweep(state, members, {}, std::chrono::minutes(10), clock);
  CHECK(members.size() == kVms);
  CHECK(retriesOfEach() == Approx(before));
}

TEST_CASE("a VM that is away for less than a minute stays listed")
{
  test::ManualClock clock;
  MemberSweep state;
  auto members = makeMembers(3);
  for (int i = 0; i < 10; ++i) {
    sweep(state, members, { "front-1" }, 55s, clock);
    sweep(state, members, {}, 65s, clock);
  }
  CHECK(members.size() == 3);
}
