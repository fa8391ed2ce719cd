#include "TestSystem.h"
#include "Wait.h"
#include <QFile>
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

namespace {

SystemPlan
oneUpstreamPlan()
{
  SystemPlan plan;
  plan.vms = 1;
  plan.workers = 1;
  plan.services = { { "orders", 1, 4 }, { "lookup", 1, 4 } };
  return plan;
}

/** A lookup whose answer is faulty, then a sound one: neither may get the other's. */
void
checkNeverCrossed(TestSystem& aSystem, const std::string& aBehaviour)
{
  const auto faulty = aSystem.call(
    0,
    makeRequest("GET",
                "/lookup/faulty",
                { { "Test-Behaviour", aBehaviour }, { "Request-Id", "f" } }));
  REQUIRE(faulty.has_value());
  INFO(aBehaviour);
  CHECK(outcomeOf(*faulty) == "unknown");
  CHECK(faulty->status >= 500);
  const auto sound =
    aSystem.call(0, makeRequest("GET", "/lookup/sound", { { "Request-Id", "s" } }));
  REQUIRE(sound.has_value());
  CHECK(sound->body == "GET /lookup/sound\n");
  CHECK(http::findHeader(sound->headers, "Echo-Id") == "s");
}

/** The resident memory of a process, in MiB. */
int
residentMiB(qint64 aPid)
{
  QFile file(QStringLiteral("/proc/%1/statm").arg(aPid));
  REQUIRE(file.open(QIODevice::ReadOnly));
  constexpr int kPagesInMiB = 256;
  return file.readAll().split(' ').at(1).toInt() / kPagesInMiB;
}

} // namespace

TEST_CASE("truncated, surplus, doubled and malformed answers are never passed on")
{
  TestSystem system(oneUpstreamPlan());
  REQUIRE(system.start());
  for (const auto* const behaviour : { "truncate", "surplus", "double", "malformed" }) {
    checkNeverCrossed(system, behaviour);
  }
}

TEST_CASE("an answer that comes after its deadline reaches nobody")
{
  TestSystem system(oneUpstreamPlan());
  REQUIRE(system.start());
  // The deadline of lookups is 2 s; the answer leaves the upstream after it.
  const auto late =
    system.call(0, makeRequest("GET", "/lookup/late", { { "Test-Service-Ms", "2500" } }));
  REQUIRE(late.has_value());
  CHECK(late->status == 504);
  CHECK(outcomeOf(*late) == "unknown");
  for (int i = 0; i < 20; ++i) {
    const auto id = std::to_string(i);
    const auto next = system.call(0, makeRequest("GET", "/lookup/" + id));
    REQUIRE(next.has_value());
    CHECK(next->body == "GET /lookup/" + id + "\n");
  }
}

TEST_CASE(
  "an order read on a reused connection that closes without an answer has run once")
{
  TestSystem system(oneUpstreamPlan());
  REQUIRE(system.start());
  const auto first = system.call(
    0, makeRequest("POST", "/orders", { { "Idempotency-Key", "warm" } }, "first"));
  REQUIRE(first.has_value());
  REQUIRE(outcomeOf(*first) == "answered");
  const auto lost = system.call(
    0,
    makeRequest("POST",
                "/orders",
                { { "Idempotency-Key", "lost" }, { "Test-Behaviour", "close" } },
                "second"));
  REQUIRE(lost.has_value());
  CHECK(outcomeOf(*lost) == "unknown");
  CHECK(system.ledger().runsOf("lost") == 1);
}

TEST_CASE("a slow caller holds bounded memory and harms no other")
{
  auto plan = oneUpstreamPlan();
  TestSystem system(plan);
  REQUIRE(system.start());
  TestCaller slow(system.vmHost(0), TestSystem::kCallerPort);
  const std::string body(500'000, 'x');
  const auto before = residentMiB(system.entry(0).pid());
  constexpr int kRequests = 400;
  for (int i = 0; i < kRequests; ++i) {
    // Far more than may be held while nothing is read: 200 MB each way.
    slow.send(makeRequest(
      "POST", "/orders", { { "Idempotency-Key", "slow-" + std::to_string(i) } }, body));
  }
  const auto next = system.call(0, makeRequest("GET", "/lookup/alive"));
  REQUIRE(next.has_value());
  CHECK(next->status == 200);
  // Recorded answers are held to 32 MiB, and 16 pipelined calls to half a MB each way.
  CHECK(residentMiB(system.entry(0).pid()) - before < 64);
}

TEST_CASE("a lookup that one upstream answers with an error is tried at another")
{
  SystemPlan plan;
  plan.vms = 1;
  plan.services = { { "orders", 1, 4 }, { "lookup", 2, 4 } };
  TestSystem system(plan);
  REQUIRE(system.start());
  system.setUpstream(1, "failing=1");
  for (int i = 0; i < 20; ++i) {
    const auto response =
      system.call(0, makeRequest("GET", "/lookup/" + std::to_string(i)));
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
  }
  // Where all fail, the caller gets the answer that there is; an order is never retried.
  system.setUpstream(2, "failing=1");
  system.setUpstream(0, "failing=1");
  const auto lookup = system.call(0, makeRequest("GET", "/lookup/x"));
  REQUIRE(lookup.has_value());
  CHECK(lookup->status == 500);
  CHECK(outcomeOf(*lookup) == "answered");
  const auto order =
    system.call(0, makeRequest("POST", "/orders", { { "Idempotency-Key", "e" } }, "x"));
  REQUIRE(order.has_value());
  CHECK(order->status == 500);
}

TEST_CASE("a lookup that an upstream has run is never reported as not run")
{
  SystemPlan plan;
  plan.vms = 1;
  plan.services = { { "orders", 1, 4 }, { "lookup", 3, 4 } };
  TestSystem system(plan);
  REQUIRE(system.start());
  system.setUpstream(1, "failing=1");
  system.setUpstream(2, "shedding=1");
  system.setUpstream(3, "shedding=1");
  constexpr int kLookups = 60;
  int answered = 0;
  for (int i = 0; i < kLookups; ++i) {
    const auto target = "/lookup/" + std::to_string(i);
    const auto response = system.call(0, makeRequest("GET", target));
    REQUIRE(response.has_value());
    const bool hasFailed = system.ledger().failedTargets.contains(target);
    CHECK((outcomeOf(*response) == "not-run") == !hasFailed);
    answered += hasFailed ? 1 : 0;
  }
  CHECK(answered > 0);
}
