#include "TestSystem.h"
#include "Wait.h"
#include <QJsonObject>
#include <catch2/catch.hpp>
#include <csignal>

using namespace masticwall;
using namespace masticwall::test;

namespace {

http::Request
makeOrder(const std::string& aKey, http::HeaderList aHeaders = {})
{
  aHeaders.push_back({ "Idempotency-Key", aKey });
  return makeRequest("POST", "/orders", aHeaders, "order " + aKey);
}

/** An order sent on a connection of its own, whose answer is awaited later. */
class OpenOrder
{
public:
  OpenOrder(const TestSystem& aSystem, int aVm, const http::Request& aOrder)
    : mCaller(aSystem.vmHost(aVm), TestSystem::kCallerPort)
  {
    mCaller.send(aOrder);
  }

  std::string outcome()
  {
    const auto response = mCaller.receive();
    return response.has_value() ? outcomeOf(*response) : "none";
  }

private:
  TestCaller mCaller;
};

std::string
outcomeAt(TestSystem& aSystem, int aVm, const http::Request& aOrder)
{
  return OpenOrder(aSystem, aVm, aOrder).outcome();
}

bool
waitForRun(const TestSystem& aSystem, const std::string& aKey)
{
  return waitUntil([&] { return aSystem.ledger().runsOf(aKey) == 1; });
}

} // namespace

TEST_CASE("a resend through another entry while the first runs gets the same answer")
{
  TestSystem system({});
  REQUIRE(system.start());
  const auto order = makeOrder("k", { { "Test-Service-Ms", "500" } });
  OpenOrder first(system, 0, order);
  REQUIRE(waitForRun(system, "k"));
  OpenOrder second(system, 1, order);
  OpenOrder third(system, 0, order);
  CHECK(first.outcome() == "answered");
  CHECK(second.outcome() == "answered");
  CHECK(third.outcome() == "answered");
  CHECK(system.ledger().runsOf("k") == 1);
}

TEST_CASE(
  "a resend after the claimant's VM was killed is told that the outcome is unknown")
{
  TestSystem system({});
  REQUIRE(system.start());
  const auto running = makeOrder("running", { { "Test-Service-Ms", "500" } });
  REQUIRE(outcomeAt(system, 0, makeOrder("answered")) == "answered");
  OpenOrder first(system, 0, running);
  REQUIRE(waitForRun(system, "running"));
  system.killVm(0);
  CHECK(outcomeAt(system, 1, running) == "unknown");
  CHECK(outcomeAt(system, 1, makeOrder("answered")) == "unknown");
  // A fresh VM of the same name reads the claims before it takes orders.
  REQUIRE(system.replaceVm(0));
  REQUIRE(waitUntil([&] {
    return system.entryState(0)[QStringLiteral("version")].toInteger() > 0 &&
           system.controlState(0)[QStringLiteral("claimsReady")].toBool();
  }));
  CHECK(outcomeAt(system, 0, running) == "unknown");
  CHECK(outcomeAt(system, 0, makeOrder("answered")) == "unknown");
  CHECK(outcomeAt(system, 0, makeOrder("new")) == "answered");
  const auto ledger = system.ledger();
  CHECK(ledger.runsOf("running") == 1);
  CHECK(ledger.runsOf("answered") == 1);
  CHECK(ledger.runsOf("new") == 1);
}

TEST_CASE("a claim whose append's answer is lost after it took effect is found again")
{
  TestSystem system({});
  REQUIRE(system.start());
  system.setLog("lose_answers=3");
  CHECK(outcomeAt(system, 0, makeOrder("lost")) == "answered");
  CHECK(outcomeAt(system, 1, makeOrder("lost")) == "answered");
  CHECK(system.ledger().runsOf("lost") == 1);
}

TEST_CASE("while the log is down orders end as not run, and run once it is back")
{
  for (const auto* const fault : { "hang", "refuse" }) {
    TestSystem system({});
    REQUIRE(system.start());
    system.setLog(std::string(fault) + "=1");
    CHECK(outcomeAt(system, 0, makeOrder("waiting")) == "not-run");
    CHECK(system.ledger().runsOf("waiting") == 0);
    // Lookups go on.
    const auto lookup = system.call(0, makeRequest("GET", "/lookup/1"));
    REQUIRE(lookup.has_value());
    CHECK(outcomeOf(*lookup) == "answered");
    system.setLog(std::string(fault) + "=0");
    CHECK(waitUntil(
      [&] { return outcomeAt(system, 1, makeOrder("waiting")) == "answered"; }));
    CHECK(system.ledger().runsOf("waiting") == 1);
  }
}

TEST_CASE("while the log is slow orders run once")
{
  TestSystem system({});
  REQUIRE(system.start());
  system.setLog("delay_ms=400");
  CHECK(outcomeAt(system, 0, makeOrder("slow")) == "answered");
  CHECK(outcomeAt(system, 1, makeOrder("slow")) == "answered");
  CHECK(system.ledger().runsOf("slow") == 1);
}

TEST_CASE("after a log that lost records, no key is claimed until the window has passed")
{
  SystemPlan plan;
  plan.orderWindowMs = 4000;
  TestSystem system(plan);
  REQUIRE(system.start());
  REQUIRE(outcomeAt(system, 0, makeOrder("gap")) == "answered");
  REQUIRE(outcomeAt(system, 0, makeOrder("gap-2")) == "answered");
  system.setLog("drop_newest=2");
  REQUIRE(waitUntil(
    [&] { return !system.controlState(1)[QStringLiteral("claimsReady")].toBool(); }));
  system.killVm(0);
  // VM 1 has read the claims, so it knows; a fresh VM could not, and must not guess.
  CHECK(outcomeAt(system, 1, makeOrder("gap")) != "answered");
  CHECK(system.ledger().runsOf("gap") == 1);
}

TEST_CASE("an entry paused between claim and send, past every timeout, never sends")
{
  SystemPlan plan;
  plan.services = { { "orders", 1, 1 } };
  plan.workers = 1;
  plan.preset = "name = \"test\"\n"
                "[limits]\novercommit = 0.1\n"
                "[[service]]\nname = \"orders\"\nslots = 1\n"
                "[[service.route]]\nmethod = \"POST\"\npath = \"/orders\"\n"
                "rank = \"urgent\"\nidempotent = false\ndeadline_ms = 1500\n";
  TestSystem system(plan);
  REQUIRE(system.start());
  // The one slot is taken, so the second order is claimed and waits for it.
  OpenOrder first(system, 0, makeOrder("first", { { "Test-Service-Ms", "800" } }));
  REQUIRE(waitForRun(system, "first"));
  OpenOrder second(system, 0, makeOrder("second"));
  REQUIRE(waitUntil(
    [&] { return system.controlState(1)[QStringLiteral("claims")].toInteger() == 2; }));
  system.entry(0).signal(SIGSTOP);
  // Whoever asks meanwhile can't learn the outcome from the paused process.
  CHECK(outcomeAt(system, 1, makeOrder("second")) == "unknown");
  CHECK(outcomeAt(system, 1, makeOrder("second")) == "unknown");
  system.entry(0).signal(SIGCONT);
  CHECK(second.outcome() == "not-run");
  CHECK(system.ledger().runsOf("second") == 0);
  // The claim is released: the key is free again.
  CHECK(
    waitUntil([&] { return outcomeAt(system, 1, makeOrder("second")) == "answered"; }));
  CHECK(system.ledger().runsOf("second") == 1);
}

TEST_CASE("with its control process killed, an entry serves lookups and refuses orders")
{
  TestSystem system({});
  REQUIRE(system.start());
  system.control(0).kill();
  CHECK(outcomeAt(system, 0, makeOrder("uncontrolled")) == "not-run");
  const auto lookup = system.call(0, makeRequest("GET", "/lookup/1"));
  REQUIRE(lookup.has_value());
  CHECK(outcomeOf(*lookup) == "answered");
  CHECK(system.ledger().runsOf("uncontrolled") == 0);
  system.startControl(0);
  CHECK(waitUntil(
    [&] { return outcomeAt(system, 0, makeOrder("uncontrolled")) == "answered"; }));
  CHECK(outcomeAt(system, 1, makeOrder("uncontrolled")) == "answered");
  CHECK(system.ledger().runsOf("uncontrolled") == 1);
}

TEST_CASE("VMs that claim one key at the same moment run it once")
{
  SystemPlan plan;
  plan.vms = 3;
  TestSystem system(plan);
  REQUIRE(system.start());
  for (int i = 0; i < 30; ++i) {
    const auto key = "race-" + std::to_string(i);
    OpenOrder a(system, 0, makeOrder(key));
    OpenOrder b(system, 1, makeOrder(key));
    OpenOrder c(system, 2, makeOrder(key));
    CHECK(a.outcome() == "answered");
    CHECK(b.outcome() == "answered");
    CHECK(c.outcome() == "answered");
    CHECK(system.ledger().runsOf(key) == 1);
  }
}

TEST_CASE(
  "an order whose upstream connection is cut is never sent again once it was sent")
{
  SystemPlan plan;
  plan.proxiesUpstreams = true;
  plan.services = { { "orders", 1, 4 } };
  TestSystem system(plan);
  REQUIRE(system.start());
  const std::vector<std::string> cuts{ "cut_after_request=0",
                                       "cut_after_request=20",
                                       "cut_after_request=1000000",
                                       "cut_after_answer=0",
                                       "cut_after_answer=30" };
  int n = 0;
  for (const auto& cut : cuts) {
    system.setUpstreamProxy(0, cut);
    const auto key = "cut-" + std::to_string(n++);
    const auto outcome = outcomeAt(system, 0, makeOrder(key));
    const auto runs = system.ledger().runsOf(key);
    INFO(cut << " " << outcome << " " << runs);
    CHECK((outcome == "answered"  ? runs == 1
           : outcome == "not-run" ? runs == 0
                                  : runs <= 1));
    system.setUpstreamProxy(0, "cut_after_request=-1&cut_after_answer=-1");
    const auto again = outcomeAt(system, 1, makeOrder(key));
    CHECK(again == (outcome == "not-run" ? "answered" : outcome));
    CHECK(system.ledger().runsOf(key) <= 1);
  }
}

TEST_CASE("an order whose upstream takes no connection is not run")
{
  SystemPlan plan;
  plan.proxiesUpstreams = true;
  plan.services = { { "orders", 1, 4 } };
  TestSystem system(plan);
  REQUIRE(system.start());
  // Before any call, so that no connection from earlier can carry the order.
  system.setUpstreamProxy(0, "refuse=1");
  CHECK(outcomeAt(system, 0, makeOrder("refused")) != "answered");
  CHECK(system.ledger().runsOf("refused") == 0);
}
