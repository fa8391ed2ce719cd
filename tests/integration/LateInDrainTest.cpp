#include "GatewaySystem.h"
#include "Wait.h"
#include <catch2/catch.hpp>
#include <csignal>

using namespace masticwall;
using namespace masticwall::test;

// Guards against requests that are taken late in a planned stop, passed on, and cut off
// without an answer at its end.

namespace {

constexpr int kCallers = 6;
constexpr int kDeadlineMs = 2500;
constexpr int kServiceMs = 2000;

/** Callers connect this long after the SIGTERM, while connections are still accepted. */
constexpr int kConnectAtMs = 2300;

/** They finish their requests so much later: with less time left than these take. */
constexpr int kFinishAfterMs = 2400;

constexpr const char* kBody = "0123456789";

QByteArray
requestHead(const std::string& aPath, const std::string& aId)
{
  return QByteArray::fromStdString(
    "POST " + aPath + aId + " HTTP/1.1\r\nHost: a.example\r\nMasticwall-Request-Id: " +
    aId + "\r\nMasticwall-Request-Deadline: " + std::to_string(kDeadlineMs) +
    "\r\nTest-Service-Ms: " + std::to_string(kServiceMs) +
    "\r\nContent-Length: 10\r\n\r\n");
}

} // namespace

TEST_CASE("a request that comes late in a planned stop is answered or refused, never cut")
{
  GatewaySystem system(1, 3);
  REQUIRE(system.start());
  system.gateway(0).signal(SIGTERM);
  REQUIRE(waitUntil([&] { return !system.isReady(0); }));
  runEventsFor(kConnectAtMs);
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(
      std::make_unique<TestCaller>(system.gatewayHost(0), GatewaySystem::kFrontPort));
    callers.back()->send(
      requestHead(i % 2 == 0 ? "/order/" : "/read/", "late" + std::to_string(i)));
  }
  runEventsFor(kFinishAfterMs);
  for (const auto& it : callers) {
    REQUIRE(it->isConnected());
    it->send(QByteArray(kBody));
  }
  for (int i = 0; i < kCallers; ++i) {
    CAPTURE(i);
    const auto answer = callers[static_cast<std::size_t>(i)]->receive();
    REQUIRE(answer.has_value());
    const bool isRefused = answer->status == 503;
    CHECK((isRefused || answer->status == 200));
    CHECK(system.runsOf("late" + std::to_string(i)) == (isRefused ? 0 : 1));
  }
  CHECK(system.gateway(0).waitForEnd() == 0);
}
