#include "GatewaySystem.h"
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

// Guards against late copies of answers on kept connections to upstreams: a copy that is
// taken as the answer to another request leaves that request's own answer on the
// connection, where the next request finds it.

namespace {

constexpr int kRounds = 10;

} // namespace

TEST_CASE("an order that runs is not answered with the late answer of the health path")
{
  GatewaySystem system(1, 1);
  REQUIRE(system.start());
  system.setUpstream(0, "hide_load=1&health_status=503");
  const http::HeaderList copied{ { "Test-Behaviour", "late-copy" } };
  const http::HeaderList slow{ { "Test-Service-Ms", "150" } };
  for (int i = 0; i < kRounds; ++i) {
    CAPTURE(i);
    system.setUpstream(0, "health_ms=0");
    CHECK(statusOf(system.call(
            0, "POST", "/order/1", "copy-" + std::to_string(i), copied)) == 200);
    // Two load queries precede the order: the first takes the copy for its answer, and
    // the second that of the first. Its own comes while the order runs.
    system.setUpstream(0, "health_ms=8");
    const auto id = "order-" + std::to_string(i);
    CHECK(statusOf(system.call(0, "POST", "/order/2", id, slow)) == 200);
    CHECK(system.runsOf(id) == 1);
  }
}

TEST_CASE("a late copy of a refused load query does not send a running order again")
{
  GatewaySystem system(1, 2);
  REQUIRE(system.start());
  for (int i = 0; i < 2; ++i) {
    system.setUpstream(i, "hide_load=1&health_status=503&health_not_run=1&copy_health=1");
  }
  const http::HeaderList slow{ { "Test-Service-Ms", "50" } };
  for (int i = 0; i < kRounds; ++i) {
    CAPTURE(i);
    const auto id = "order-" + std::to_string(i);
    CHECK(statusOf(system.call(0, "POST", "/order/1", id, slow)) == 200);
    CHECK(system.runsOf(id) == 1);
  }
}

TEST_CASE("an order that failed with 503 after it ran is not reported as not run")
{
  GatewaySystem system(1, 1);
  REQUIRE(system.start());
  for (const int status : { 408, 429, 503 }) {
    CAPTURE(status);
    system.setUpstream(0, "error_status=" + std::to_string(status));
    const auto id = "failed-" + std::to_string(status);
    CHECK(statusOf(system.call(0, "POST", "/order/1", id)) == 502);
    CHECK(system.runsOf(id) == 1);
  }
}
