#include <catch2/catch.hpp>
#include <decide/MembershipHistory.h>

using namespace masticwall;

namespace {

constexpr std::uint64_t kFirstRevision = 1000;

Vm
upstream(const std::string& aName, bool aIsLeaving = false)
{
  Vm vm;
  vm.name = aName;
  vm.leaving = aIsLeaving;
  return vm;
}

} // namespace

TEST_CASE("the delta from an earlier revision holds only the changes since it")
{
  MembershipHistory history(kFirstRevision);
  history.update({ upstream("a"), upstream("b"), upstream("c") });
  const auto before = history.revision();
  history.update({ upstream("a"), upstream("b", true), upstream("d") });
  const auto delta = history.deltaSince(before);
  REQUIRE(delta.has_value());
  CHECK(delta->changed == VmList{ upstream("b", true), upstream("d") });
  CHECK(delta->removed == std::vector<VmKey>{ keyOf(upstream("c")) });
  CHECK(apply(*delta, { upstream("a"), upstream("b"), upstream("c") }) ==
        history.currentList());
}

TEST_CASE("an update without changes keeps the revision")
{
  MembershipHistory history(kFirstRevision);
  history.update({ upstream("a") });
  const auto before = history.revision();
  history.update({ upstream("a") });
  CHECK(history.revision() == before);
  const auto delta = history.deltaSince(before);
  REQUIRE(delta.has_value());
  CHECK(delta->changed.empty());
  CHECK(delta->removed.empty());
}

TEST_CASE("a VM that was removed and added again is not in the delta's removals")
{
  MembershipHistory history(kFirstRevision);
  history.update({ upstream("a") });
  const auto before = history.revision();
  history.update({});
  history.update({ upstream("a") });
  const auto delta = history.deltaSince(before);
  REQUIRE(delta.has_value());
  CHECK(delta->removed.empty());
  CHECK(delta->changed == VmList{ upstream("a") });
}

TEST_CASE("there is no delta from a revision that is unknown or too old")
{
  MembershipHistory history(kFirstRevision);
  history.update({ upstream("a") });
  CHECK_FALSE(history.deltaSince(0).has_value());
  CHECK_FALSE(history.deltaSince(kFirstRevision - 1).has_value());
  CHECK_FALSE(history.deltaSince(history.revision() + 1).has_value());
  for (int i = 0; i < 5000; ++i) {
    history.update({ upstream(std::to_string(i)) });
  }
  CHECK_FALSE(history.deltaSince(kFirstRevision + 1).has_value());
  CHECK(history.deltaSince(history.revision() - 10).has_value());
}
