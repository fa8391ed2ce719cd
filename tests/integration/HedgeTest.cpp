#include "GatewaySystem.h"
#include "Wait.h"
#include <QElapsedTimer>
#include <catch2/catch.hpp>
#include <sstream>

using namespace masticwall;
using namespace masticwall::test;

namespace {

/** Fewer latencies than this don't tell when a call is late. */
constexpr int kCallsToLearn = 40;

std::string
nextId()
{
  static int n = 0;
  return "hedge-" + std::to_string(++n);
}

/** Two upstreams that respond soon, and a gateway that knows it. */
void
startAndLearn(GatewaySystem& aSystem)
{
  REQUIRE(aSystem.start());
  for (int i = 0; i < 2; ++i) {
    aSystem.setUpstream(i, "service_ms=5");
  }
  for (int i = 0; i < kCallsToLearn; ++i) {
    REQUIRE(aSystem.call(0, "GET", "/read/a", nextId()).has_value());
  }
}

/** How late calls have fared so far: the lines of the counter of hedges. */
std::string
hedgesOf(GatewaySystem& aSystem)
{
  std::istringstream metrics(aSystem.metrics(0));
  std::string hedges;
  for (std::string line; std::getline(metrics, line);) {
    hedges += line.find("masticwall_hedges_total{") == 0 ? line + '\n' : "";
  }
  return hedges;
}

bool
hasHedges(GatewaySystem& aSystem, const std::string& aResult)
{
  const auto metrics = aSystem.metrics(0);
  const auto series = R"(masticwall_hedges_total{result=")" + aResult + R"("})";
  return metrics.find(series) != std::string::npos;
}

} // namespace

TEST_CASE("a late lookup is sent to a second upstream, whose response is the caller's")
{
  GatewaySystem system(1, 2);
  system.setHedgeShare(0.5);
  startAndLearn(system);
  constexpr int kSlowMs = 1500;
  system.setUpstream(0, "service_ms=" + std::to_string(kSlowMs) + "&hide_load=1");
  bool wasHedged = false;
  for (int i = 0; i < 40 && !wasHedged; ++i) {
    const auto id = nextId();
    QElapsedTimer timer;
    timer.start();
    const auto response = system.call(0, "GET", "/read/a", id);
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    wasHedged = system.runsOf(id) == 2;
    if (wasHedged) {
      CHECK(timer.elapsed() < kSlowMs);
      CHECK(http::findHeader(response->headers, "Echo-Upstream") ==
            system.upstreamName(1));
    }
  }
  CHECK(wasHedged);
  CHECK(hasHedges(system, "won"));
}

TEST_CASE("a hedge that fails gives way to the first request")
{
  GatewaySystem system(1, 2);
  system.setHedgeShare(0.5);
  startAndLearn(system);
  system.setUpstream(0, "service_ms=600&hide_load=1");
  system.setUpstream(1, "error_status=500");
  for (int i = 0; i < 40 && !hasHedges(system, "failed"); ++i) {
    const auto response = system.call(0, "GET", "/read/a", nextId());
    REQUIRE(response.has_value());
    if (hasHedges(system, "failed")) {
      CHECK(response->status == 200);
    }
  }
  CHECK(hasHedges(system, "failed"));
}

TEST_CASE("orders are never hedged")
{
  GatewaySystem system(1, 2);
  system.setHedgeShare(1.0);
  startAndLearn(system);
  for (int i = 0; i < 2; ++i) {
    system.setUpstream(i, "service_ms=300");
  }
  const auto before = hedgesOf(system); // of the lookups that it has learned from
  for (int i = 0; i < 10; ++i) {
    const auto id = nextId();
    REQUIRE(system.call(0, "POST", "/order/a", id).has_value());
    CHECK(system.runsOf(id) == 1);
  }
  CHECK(hedgesOf(system) == before);
}

TEST_CASE("no lookup is hedged unless the operator allows it")
{
  GatewaySystem system(1, 2);
  startAndLearn(system);
  system.setUpstream(0, "service_ms=500&hide_load=1");
  for (int i = 0; i < 10; ++i) {
    const auto id = nextId();
    REQUIRE(system.call(0, "GET", "/read/a", id).has_value());
    CHECK(system.runsOf(id) == 1);
  }
  CHECK(system.metrics(0).find("masticwall_hedges_total") == std::string::npos);
}
