#include "GatewaySystem.h"
#include "Wait.h"
#include <PeakMemory.h>
#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <http/Serializer.h>
#include <sys/resource.h>

using namespace masticwall;
using namespace masticwall::test;

// Guards against processes that end, or are ended, for want of descriptors or memory.

namespace {

/** The users' bound on a gateway's memory while its upstreams send without end. */
constexpr qint64 kMaxPeakKb = 64 * kMiB / kKiB;

/** As the users configure it. */
constexpr qint64 kMaxBodyBytes = 64 * kMiB;

http::Request
makeLookup(const std::string& aId, const http::HeaderList& aMore)
{
  http::HeaderList headers{ { "Host", "a.example" },
                            { "Masticwall-Request-Id", aId },
                            { "Masticwall-Request-Deadline", "5000" } };
  headers.insert(headers.end(), aMore.begin(), aMore.end());
  return makeRequest("GET", "/read/1", headers);
}

using Callers = std::vector<std::unique_ptr<TestCaller>>;

Callers
connectCallers(const GatewaySystem& aSystem, int aCount)
{
  Callers callers;
  for (int i = 0; i < aCount; ++i) {
    callers.push_back(
      std::make_unique<TestCaller>(aSystem.gatewayHost(0), GatewaySystem::kFrontPort));
  }
  return callers;
}

} // namespace

TEST_CASE("a gateway whose callers want all its descriptors outlives an outage")
{
  constexpr int kMaxFds = 420;
  constexpr int kCallers = 400;
  GatewaySystem system(1, 1);
  system.setLimits(kMaxFds, 260);
  REQUIRE(system.start());
  const rlimit files{ kMaxFds - 200 + 16, kMaxFds - 200 + 16 };
  REQUIRE(
    prlimit(
      static_cast<pid_t>(system.gateway(0).pid()), RLIMIT_NOFILE, &files, nullptr) == 0);
  auto callers = connectCallers(system, kCallers);
  for (auto& it : callers) {
    it->send(makeLookup("many", {}));
  }
  runEventsFor(1000);
  for (const auto* const outage : { "hang=1", "hang=0&refuse=1" }) {
    system.setStore(outage);
    runEventsFor(2500);
    REQUIRE(system.gateway(0).isRunning());
  }
  system.setStore("hang=0&refuse=0");
  // It follows the store again, and serves those who come.
  system.writeConfig(9);
  CHECK(waitUntil([&] { return statusOf(system.call(0, "GET", "/v9/", "new")) == 200; }));
  callers.clear();
  CHECK(
    waitUntil([&] { return statusOf(system.call(0, "GET", "/read/1", "x")) == 200; }));
  CHECK(system.gateway(0).isRunning());
}

TEST_CASE("answers without end don't take a gateway's memory")
{
  constexpr int kCallers = 24;
  GatewaySystem system(1, 3);
  system.setMaxBodyBytes(kMaxBodyBytes);
  REQUIRE(system.start());
  for (int round = 0; round < 3; ++round) {
    auto callers = connectCallers(system, kCallers);
    for (auto& it : callers) {
      it->send(makeLookup("endless", { { "Test-Behaviour", "endless" } }));
    }
    for (auto& it : callers) {
      const auto response = it->receive();
      // No end within its limits: the call may have run.
      CHECK((statusOf(response) == 502 || statusOf(response) == 504 ||
             statusOf(response) == 503));
    }
    CHECK(waitUntil(
      [&] { return statusOf(system.call(0, "GET", "/read/1", "whole")) == 200; }));
  }
  CHECK(system.gateway(0).isRunning());
  CHECK(peakMemoryKb(system.gateway(0).pid()) < kMaxPeakKb);
}

TEST_CASE("callers that don't take their answers don't take a gateway's memory")
{
  constexpr int kCallers = 80;
  constexpr int kAnswers = 4;
  GatewaySystem system(1, 3);
  system.setMaxBodyBytes(kMaxBodyBytes);
  REQUIRE(system.start());
  std::vector<std::unique_ptr<QTcpSocket>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<QTcpSocket>());
    // The kernel takes little on behalf of a caller that doesn't read.
    callers.back()->setReadBufferSize(1);
    callers.back()->connectToHost(system.gatewayHost(0), GatewaySystem::kFrontPort);
    REQUIRE(callers.back()->waitForConnected());
    for (int n = 0; n < kAnswers; ++n) {
      callers.back()->write(http::serialize(makeLookup(
        "untaken", { { "Test-Body-Bytes", std::to_string(2 * 1024 * 1024) } })));
    }
    callers.back()->flush();
    runEventsFor(20);
  }
  runEventsFor(2000);
  CHECK(statusOf(system.call(0, "GET", "/read/1", "whole")) == 200);
  CHECK(system.gateway(0).isRunning());
  CHECK(peakMemoryKb(system.gateway(0).pid()) < kMaxPeakKb);
}

TEST_CASE("callers whose bodies are large together don't take a gateway's memory")
{
  constexpr int kMemoryMb = 160;
  constexpr int kCallers = 60;
  constexpr qint64 kBodyBytes = 1'000'000; // the stand-in takes no more
  constexpr qint64 kUnsentBytes = 100;
  GatewaySystem system(1, 1);
  system.setLimits(4100, kMemoryMb);
  system.setMaxBodyBytes(kMaxBodyBytes);
  REQUIRE(system.start());
  const auto head = "POST /order/1 HTTP/1.1\r\nHost: a.example\r\n"
                    "Masticwall-Request-Id: large\r\nContent-Length: " +
                    QByteArray::number(kBodyBytes) + "\r\n\r\n";
  auto callers = connectCallers(system, kCallers);
  for (const auto& it : callers) {
    it->send(head + QByteArray(kBodyBytes - kUnsentBytes, 'b'));
  }
  // An eighth of 160 MiB has room for twenty, until their time to send is over.
  int refused = 0;
  CHECK(waitUntil([&] {
    for (auto& it : callers) {
      const auto answer = it == nullptr ? std::nullopt : it->receive(1);
      if (answer.has_value() && answer->status == 503) {
        ++refused;
        CHECK_FALSE(http::findHeader(answer->headers, "Retry-After").empty());
        it.reset();
      }
    }
    return refused == kCallers - 20;
  }));
  CHECK(statusOf(system.call(0, "GET", "/read/1", "small")) == 200);
  CHECK(peakMemoryKb(system.gateway(0).pid()) < kMaxPeakKb);
  callers.clear();
  CHECK(waitUntil([&] {
    TestCaller next(system.gatewayHost(0), GatewaySystem::kFrontPort);
    next.send(head + QByteArray(kBodyBytes, 'b'));
    return statusOf(next.receive(5000)) == 200;
  }));
}
