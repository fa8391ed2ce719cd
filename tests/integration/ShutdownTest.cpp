#include "LoadRun.h"
#include "TestSystem.h"
#include "Wait.h"
#include <catch2/catch.hpp>
#include <csignal>

using namespace masticwall;
using namespace masticwall::test;

namespace {

constexpr double kRate = 200.0;

SystemPlan
makePlan()
{
  SystemPlan plan;
  plan.noticeMs = 2000;
  // Slots enough that nothing is refused: what ends unanswered was cut off.
  plan.services = { { "orders", 2, 16 }, { "lookup", 2, 16 } };
  return plan;
}

/** Which of a VM's processes are told to stop, and when. */
enum class StopOrder : std::uint8_t
{
  Together,     ///< both at the same time
  ControlFirst, ///< the entry half a second later, when the feed has told it to leave
};

/**
 * A load on two VMs, of which VM 0 is told to leave after a second; the platform's
 * balancer notices half of the notice period later.
 */
std::vector<LoadResult>
runLoadOverShutdown(TestSystem& aSystem, const std::string& aPath, StopOrder aOrder)
{
  const auto stopAt = static_cast<std::uint64_t>(kRate);
  const auto stopEntryAt = aOrder == StopOrder::Together
                             ? stopAt
                             : stopAt + static_cast<std::uint64_t>(kRate / 2);
  const LoadRun::Target leaving{ aSystem.vmHost(0), TestSystem::kCallerPort };
  const LoadRun::Target staying{ aSystem.vmHost(1), TestSystem::kCallerPort };
  LoadRun load({ leaving, staying }, kRate, 7);
  return load.run(5s, [&](std::uint64_t aIndex, std::mt19937_64&) {
    if (aIndex == stopEntryAt) {
      aSystem.entry(0).signal(SIGTERM);
    }
    if (aIndex == stopAt) {
      aSystem.control(0).signal(SIGTERM);
    }
    if (aIndex == static_cast<std::uint64_t>(2 * kRate)) {
      load.setTargets({ staying });
    }
    return LoadCall{ "call", makeRequest("GET", aPath + std::to_string(aIndex)) };
  });
}

http::Request
makeLongOrder()
{
  return makeRequest("POST",
                     "/orders",
                     { { "Idempotency-Key", "long" }, { "Test-Service-Ms", "2800" } },
                     "long");
}

} // namespace

TEST_CASE("a VM that is told to leave under load cuts off no request")
{
  for (const bool isLogDown : { false, true }) {
    TestSystem system(makePlan());
    REQUIRE(system.start());
    TestCaller caller(system.vmHost(0), TestSystem::kCallerPort);
    caller.send(makeLongOrder());
    REQUIRE(waitUntil([&] { return system.ledger().runsOf("long") == 1; }));
    if (isLogDown) {
      system.setLog("hang=1");
    }
    const auto results = runLoadOverShutdown(system, "/lookup/", StopOrder::Together);
    for (const auto& it : results) {
      INFO(it.outcome << " " << it.reason);
      CHECK(it.outcome == "answered");
      CHECK(it.isOwnAnswer);
    }
    const auto order = caller.receive();
    REQUIRE(order.has_value());
    CHECK(outcomeOf(*order) == "answered");
    CHECK(system.entry(0).waitForEnd() == 0);
    CHECK(system.control(0).waitForEnd() == 0);
  }
}

TEST_CASE("a VM whose control process is told to stop first cuts off no request")
{
  TestSystem system(makePlan());
  REQUIRE(system.start());
  for (const auto& it :
       runLoadOverShutdown(system, "/lookup/", StopOrder::ControlFirst)) {
    INFO(it.outcome << " " << it.reason);
    CHECK(it.outcome == "answered");
    CHECK(it.isOwnAnswer);
  }
  CHECK(system.entry(0).waitForEnd() == 0);
  CHECK(system.control(0).waitForEnd() == 0);
}

TEST_CASE("while it leaves, a VM says so on its health path and still answers")
{
  TestSystem system(makePlan());
  REQUIRE(system.start());
  system.entry(0).signal(SIGTERM);
  REQUIRE(waitUntil([&] {
    const auto health = system.call(0, makeRequest("GET", "/masticwall/health"));
    return health.has_value() && health->status == 503;
  }));
  const auto lookup = system.call(0, makeRequest("GET", "/lookup/1"));
  REQUIRE(lookup.has_value());
  CHECK(outcomeOf(*lookup) == "answered");
  CHECK_FALSE(lookup->keepAlive);
}

TEST_CASE("a second SIGTERM ends the notice period, not the calls in flight")
{
  auto plan = makePlan();
  plan.noticeMs = 600'000;
  TestSystem system(plan);
  REQUIRE(system.start());
  TestCaller caller(system.vmHost(0), TestSystem::kCallerPort);
  caller.send(makeRequest("GET", "/lookup/slow", { { "Test-Service-Ms", "1000" } }));
  REQUIRE(waitUntil([&] { return system.ledger().runs == 1; }));
  system.entry(0).signal(SIGTERM);
  REQUIRE(waitUntil([&] {
    const auto health = system.call(0, makeRequest("GET", "/masticwall/health"));
    return health.has_value() && health->status == 503;
  }));
  system.entry(0).signal(SIGTERM);
  const auto response = caller.receive();
  REQUIRE(response.has_value());
  CHECK(outcomeOf(*response) == "answered");
  CHECK(system.entry(0).waitForEnd() == 0);
}

TEST_CASE("a drain that takes too long ends with its own exit code")
{
  auto plan = makePlan();
  plan.noticeMs = 100;
  plan.longestDrainMs = 600;
  TestSystem system(plan);
  REQUIRE(system.start());
  TestCaller caller(system.vmHost(0), TestSystem::kCallerPort);
  caller.send(makeLongOrder());
  REQUIRE(waitUntil([&] { return system.ledger().runsOf("long") == 1; }));
  system.entry(0).signal(SIGTERM);
  CHECK(system.entry(0).waitForEnd() == 3);
}

TEST_CASE("masticwallctl drain makes a VM leave")
{
  TestSystem system(makePlan());
  REQUIRE(system.start());
  CHECK(system.ctl({ QStringLiteral("drain"), QStringLiteral("vm-0") }).exitCode == 0);
  CHECK(system.entry(0).waitForEnd() == 0);
  CHECK(system.control(0).waitForEnd() == 0);
  const auto lookup = system.call(1, makeRequest("GET", "/lookup/1"));
  REQUIRE(lookup.has_value());
  CHECK(outcomeOf(*lookup) == "answered");
}
