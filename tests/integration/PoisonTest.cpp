#include "TestSystem.h"
#include "Wait.h"
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

namespace {

SystemPlan
makePlan()
{
  SystemPlan plan;
  plan.vms = 3;
  plan.services = { { "orders", 5, 4 }, { "lookup", 5, 4 } };
  return plan;
}

int
countDead(TestSystem& aSystem)
{
  int n = 0;
  for (int i = 0; i < aSystem.upstreamCount(); ++i) {
    n += aSystem.upstream(i).isRunning() ? 0 : 1;
  }
  return n;
}

} // namespace

TEST_CASE("a lookup that crashes each upstream running it takes at most two")
{
  TestSystem system(makePlan());
  REQUIRE(system.start());
  for (int i = 0; i < 12; ++i) {
    const auto response = system.call(
      i % 3, makeRequest("GET", "/lookup/poison", { { "Test-Behaviour", "crash" } }));
    REQUIRE(response.has_value());
    CHECK(outcomeOf(*response) != "answered");
  }
  runEventsFor(100);
  CHECK(countDead(system) <= 2);
  const auto sound = system.call(2, makeRequest("GET", "/lookup/sound"));
  REQUIRE(sound.has_value());
  CHECK(outcomeOf(*sound) == "answered");
}

TEST_CASE("an order that crashes its upstream takes at most two, under whatever key")
{
  TestSystem system(makePlan());
  REQUIRE(system.start());
  for (int i = 0; i < 12; ++i) {
    const auto key = "poison-" + std::to_string(i);
    const auto response = system.call(
      i % 3,
      makeRequest("POST",
                  "/orders",
                  { { "Idempotency-Key", key }, { "Test-Behaviour", "crash" } },
                  "the same order"));
    REQUIRE(response.has_value());
    CHECK(outcomeOf(*response) ==
          (system.ledger().runsOf(key) == 1 ? "unknown" : "not-run"));
  }
  CHECK(countDead(system) <= 2);
}
