#include <catch2/catch.hpp>
#include <decide/DescriptorBudget.h>

using namespace masticwall;

TEST_CASE("the parts of the descriptors stay within all of them, with a reserve")
{
  for (const int sockets : { 16, 64, 200, 1000, 3900, 7992, 1'000'000 }) {
    CAPTURE(sockets);
    const auto budget = DescriptorBudget::of(sockets);
    CHECK(budget.own + budget.upstreams + budget.callers <= sockets);
    CHECK(budget.own > 0);
    CHECK(budget.upstreams > 0);
    CHECK(budget.callers >= budget.upstreams);
  }
  CHECK(DescriptorBudget::of(3900).own >= 64);
  CHECK(DescriptorBudget::of(3900).callers > 2000);
}

TEST_CASE("a limit that leaves no descriptors gives a usable budget")
{
  for (const int sockets : { -100, 0, 1, 2 }) {
    const auto budget = DescriptorBudget::of(sockets);
    CHECK(budget.own >= 1);
    CHECK(budget.upstreams >= 1);
    CHECK(budget.callers >= 1);
  }
}
