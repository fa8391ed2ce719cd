#include "GatewaySystem.h"
#include "Wait.h"
#include <QTimer>
#include <catch2/catch.hpp>
#include <csignal>

using namespace masticwall;
using namespace masticwall::test;

namespace {

/** A lookup that its upstream works on for `aMs`; its target ends in its id. */
http::Request
lookup(const std::string& aId, int aMs)
{
  return makeRequest("GET",
                     "/read/" + aId,
                     { { "Host", "a.example" },
                       { "Masticwall-Request-Id", aId },
                       { "Masticwall-Request-Deadline", "5000" },
                       { "Test-Service-Ms", std::to_string(aMs) } });
}

/** The caller's next answer is a success, for the lookup `aId`. */
void
checkNext(TestCaller& aCaller, const std::string& aId)
{
  const auto response = aCaller.receive();
  INFO(aId);
  REQUIRE(response.has_value());
  CHECK(response->status == 200);
  CHECK(response->body == "GET /read/" + aId + '\n');
  CHECK(http::findHeader(response->headers, "Masticwall-Request-Id") == aId);
}

} // namespace

TEST_CASE("pipelined lookups are answered in order, also behind a slow one")
{
  GatewaySystem system(1, 2);
  REQUIRE(system.start());
  TestCaller caller(system.gatewayHost(0), GatewaySystem::kFrontPort);
  constexpr int kLookups = 30; // more than a connection may have in progress
  for (int i = 0; i < kLookups; ++i) {
    caller.send(lookup("p" + std::to_string(i), i == 0 ? 300 : 1 + i % 3));
  }
  for (int i = 0; i < kLookups; ++i) {
    checkNext(caller, "p" + std::to_string(i));
  }
}

TEST_CASE("a gateway that is told to stop answers all pipelined lookups that it has read")
{
  GatewaySystem system(1, 2);
  REQUIRE(system.start());
  TestCaller caller(system.gatewayHost(0), GatewaySystem::kFrontPort);
  constexpr int kLookups = 5;
  for (int i = 0; i < kLookups; ++i) {
    caller.send(lookup("s" + std::to_string(i), 400));
  }
  REQUIRE(waitUntil([&] { return system.runsOf("s4") == 1; }));
  system.gateway(0).signal(SIGTERM);
  for (int i = 0; i < kLookups; ++i) {
    checkNext(caller, "s" + std::to_string(i));
  }
  CHECK(caller.waitForClose());
  CHECK(system.gateway(0).waitForEnd() == 0);
}

TEST_CASE("a gateway that is told to stop lets a caller go that never pauses")
{
  GatewaySystem system(1, 2);
  REQUIRE(system.start());
  TestCaller caller(system.gatewayHost(0), GatewaySystem::kFrontPort);
  constexpr int kServiceMs = 160;
  constexpr int kSendPeriodMs = 40;
  constexpr int kLookupsBeforeStop = 20;
  int sent = 0;
  bool isClosing = false;
  // There is a lookup in progress at any time.
  QTimer sender;
  QObject::connect(&sender, &QTimer::timeout, &sender, [&] {
    if (isClosing || !caller.isConnected()) {
      return;
    }
    caller.send(lookup("n" + std::to_string(sent++), kServiceMs));
    if (sent == kLookupsBeforeStop) {
      system.gateway(0).signal(SIGTERM);
    }
  });
  sender.start(kSendPeriodMs);
  int answered = 0;
  while (const auto response = caller.receive()) {
    CHECK(response->status == 200);
    CHECK(http::findHeader(response->headers, "Masticwall-Request-Id") ==
          "n" + std::to_string(answered++));
    isClosing = isClosing || !response->keepAlive;
  }
  CHECK(isClosing);
  // What ran was answered, and what was sent behind the last answer did not run.
  for (int i = 0; i < sent; ++i) {
    CHECK(system.runsOf("n" + std::to_string(i)) == (i < answered ? 1 : 0));
  }
  CHECK(system.gateway(0).waitForEnd() == 0);
}

TEST_CASE("what comes behind a request that closes the connection is not passed on")
{
  GatewaySystem system(1, 2);
  REQUIRE(system.start());
  for (const bool isMalformed : { false, true }) {
    const std::string tag = isMalformed ? "m" : "c";
    TestCaller caller(system.gatewayHost(0), GatewaySystem::kFrontPort);
    caller.send(lookup(tag + "1", 50));
    if (isMalformed) {
      caller.send("not a request at all\r\n\r\n");
    } else {
      caller.send("GET /read/c2 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                  "Masticwall-Request-Id: c2\r\n\r\n");
    }
    caller.send(lookup(tag + "3", 1));
    checkNext(caller, tag + "1");
    if (isMalformed) {
      const auto error = caller.receive();
      REQUIRE(error.has_value());
      CHECK(error->status == 400);
    } else {
      checkNext(caller, tag + "2");
    }
    CHECK_FALSE(caller.receive(500).has_value());
    CHECK(caller.waitForClose());
    CHECK(system.runsOf(tag + "3") == 0);
  }
}

TEST_CASE("a caller that leaves with lookups in progress leaves no answer behind")
{
  GatewaySystem system(1, 2);
  REQUIRE(system.start());
  for (int round = 0; round < 5; ++round) {
    const auto tag = "l" + std::to_string(round) + '-';
    TestCaller caller(system.gatewayHost(0), GatewaySystem::kFrontPort);
    for (int i = 0; i < 5; ++i) {
      caller.send(lookup(tag + std::to_string(i), 300));
    }
    REQUIRE(waitUntil([&] { return system.runsOf(tag + "4") == 1; }));
    caller.hangUp();
    TestCaller next(system.gatewayHost(0), GatewaySystem::kFrontPort);
    for (int i = 0; i < 5; ++i) {
      next.send(lookup(tag + "next" + std::to_string(i), 1));
    }
    for (int i = 0; i < 5; ++i) {
      checkNext(next, tag + "next" + std::to_string(i));
    }
  }
}
