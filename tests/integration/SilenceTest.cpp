#include "TestSystem.h"
#include "Wait.h"
#include <QJsonObject>
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

namespace {

constexpr int kWorkers = 2;

SystemPlan
makePlan()
{
  SystemPlan plan;
  plan.vms = 1;
  plan.workers = kWorkers;
  plan.proxiesUpstreams = true;
  plan.proxiesLog = true;
  plan.services = { { "orders", 1, 8 }, { "lookup", 1, 8 } };
  return plan;
}

/** Several calls at once, so that each worker has several connections to the upstream. */
void
openConnections(TestSystem& aSystem)
{
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int i = 0; i < 12; ++i) {
    callers.push_back(
      std::make_unique<TestCaller>(aSystem.vmHost(0), TestSystem::kCallerPort));
    callers.back()->send(makeRequest(
      "GET", "/lookup/" + std::to_string(i), { { "Test-Service-Ms", "50" } }));
  }
  for (const auto& it : callers) {
    REQUIRE(it->receive().has_value());
  }
}

} // namespace

TEST_CASE("connections to an upstream that go silent cost at most the calls on them")
{
  TestSystem system(makePlan());
  REQUIRE(system.start());
  openConnections(system);
  system.setUpstreamProxy(1, "freeze=1");
  int lost = 0;
  for (int i = 0; i < 20; ++i) {
    const auto response =
      system.call(0, makeRequest("GET", "/lookup/" + std::to_string(i)));
    REQUIRE(response.has_value());
    lost += outcomeOf(*response) == "answered" ? 0 : 1;
  }
  // Each worker learns it from one call, and then trusts none of its idle connections.
  CHECK(lost <= kWorkers);
}

TEST_CASE("an order is not put at risk on a connection not lately seen alive")
{
  TestSystem system(makePlan());
  REQUIRE(system.start());
  const auto order = [](const std::string& aKey) {
    return makeRequest("POST", "/orders", { { "Idempotency-Key", aKey } }, aKey);
  };
  for (int i = 0; i < 8; ++i) {
    REQUIRE(system.call(0, order("warm-" + std::to_string(i))).has_value());
  }
  system.setUpstreamProxy(0, "freeze=1");
  // Past the time for which a connection counts as seen alive.
  runEventsFor(1200);
  for (int i = 0; i < 8; ++i) {
    const auto key = "after-" + std::to_string(i);
    const auto response = system.call(0, order(key));
    REQUIRE(response.has_value());
    CHECK(outcomeOf(*response) == "answered");
    CHECK(system.ledger().runsOf(key) == 1);
  }
}

TEST_CASE("connections to the log that go silent are given up for new ones")
{
  TestSystem system(makePlan());
  REQUIRE(system.start());
  REQUIRE(
    system.call(0, makeRequest("POST", "/orders", { { "Idempotency-Key", "a" } }, "a"))
      .has_value());
  system.setLogProxy("freeze=1");
  CHECK(waitUntil([&] {
    const auto response =
      system.call(0, makeRequest("POST", "/orders", { { "Idempotency-Key", "b" } }, "b"));
    return response.has_value() && outcomeOf(*response) == "answered";
  }));
  CHECK(system.ledger().runsOf("b") == 1);
}
