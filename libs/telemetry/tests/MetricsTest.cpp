#include <catch2/catch.hpp>
#include <core/Bytes.h>
#include <telemetry/Metrics.h>

using namespace masticwall;

namespace {

EndedCall
makeCall(const std::string& aRoute)
{
  EndedCall call;
  call.rank = Rank::Urgent;
  call.outcome = Outcome::Answered;
  call.route = aRoute;
  call.service = "orders";
  call.totalTime = 30ms;
  call.queueTime = 2ms;
  call.upstreamTime = 27ms;
  return call;
}

bool
contains(const std::string& aText, const std::string& aSubstring)
{
  return aText.find(aSubstring) != std::string::npos;
}

} // namespace

TEST_CASE("calls are counted by rank, result and service, and timed by route and stage")
{
  Metrics metrics;
  metrics.add(makeCall("r1"));
  auto refused = makeCall("r1");
  refused.outcome = Outcome::NotRun;
  refused.reason = "overload";
  refused.queueTime.reset();
  refused.upstreamTime.reset();
  metrics.add(refused);
  const auto text = metrics.toText();
  CHECK(contains(text, R"(masticwall_calls_total{rank="urgent",result="answered"} 1)"));
  CHECK(contains(text,
                 R"(masticwall_calls_total{rank="urgent",result="not-run:overload"} 1)"));
  CHECK(contains(
    text, R"(masticwall_service_calls_total{outcome="answered",service="orders"} 1)"));
  CHECK(contains(text, R"(masticwall_call_seconds_count{route="r1",stage="total"} 2)"));
  CHECK(contains(text, R"(masticwall_call_seconds_count{route="r1",stage="queue"} 1)"));
  CHECK(contains(
    text, R"(masticwall_call_seconds_bucket{route="r1",stage="upstream",le="0.05"} 1)"));
}

TEST_CASE("every gauge and counter appears on the metrics page under its name")
{
  Metrics metrics;
  for (const auto& it : EnumTable<Gauge>::kEntries) {
    metrics.set(it.value, 7.0);
    CHECK(contains(metrics.toText(), std::string(it.name) + " 7"));
  }
  for (const auto& it : EnumTable<Counter>::kEntries) {
    metrics.count(it.value, "ok");
    metrics.count(it.value, "ok");
    CHECK(contains(metrics.toText(), std::string(it.name) + R"({result="ok"} 2)"));
  }
}

TEST_CASE("the metrics page stays below 1 MiB with thousands of routes and services")
{
  Metrics metrics;
  constexpr int kRoutes = 3400; // far more than the limit of 256 label values
  for (int i = 0; i < kRoutes; ++i) {
    auto call = makeCall("r" + std::to_string(i));
    call.service = "s" + std::to_string(i);
    metrics.add(call);
  }
  const auto text = metrics.toText();
  CHECK(contains(text, R"(route="other")"));
  CHECK_FALSE(contains(text, R"(route="r300")"));
  CHECK(text.size() < kMiB);
}

TEST_CASE("calls are counted by tenant, and thousands of tenants share one value")
{
  Metrics metrics;
  metrics.add(makeCall("r1"));
  CHECK_FALSE(contains(metrics.toText(), R"(tenant=)"));
  for (int i = 0; i < 3400; ++i) {
    auto call = makeCall("r1");
    call.tenant = "t" + std::to_string(i);
    metrics.add(call);
  }
  const auto text = metrics.toText();
  CHECK(
    contains(text, R"(masticwall_tenant_calls_total{outcome="answered",tenant="t0"} 1)"));
  CHECK(contains(
    text, R"(masticwall_tenant_calls_total{outcome="answered",tenant="other"} 3336)"));
  CHECK_FALSE(contains(text, R"(tenant="t64")"));
}
