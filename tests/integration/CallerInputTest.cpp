#include "TestSystem.h"
#include "Wait.h"
#include <QJsonObject>
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

namespace {

/** One system for all cases of this file: each must leave the process alive. */
TestSystem&
sharedSystem()
{
  static const auto sSystem = [] {
    SystemPlan plan;
    plan.vms = 1;
    plan.requestTimeoutMs = 1000;
    auto system = std::make_unique<TestSystem>(plan);
    REQUIRE(system->start());
    return system;
  }();
  return *sSystem;
}

TestCaller
connectCaller()
{
  return { sharedSystem().vmHost(0), TestSystem::kCallerPort };
}

/** The bytes are refused with `aStatus` as not run, the connection ends, the process
 * lives. */
void
checkRefused(const QByteArray& aBytes, int aStatus, const std::string& aReason)
{
  auto caller = connectCaller();
  caller.send(aBytes);
  const auto response = caller.receive();
  REQUIRE(response.has_value());
  CHECK(response->status == aStatus);
  CHECK(outcomeOf(*response) == "not-run");
  CHECK(reasonOf(*response) == aReason);
  CHECK(caller.waitForClose());
  const auto next = sharedSystem().call(0, makeRequest("GET", "/lookup/alive"));
  REQUIRE(next.has_value());
  CHECK(next->status == 200);
}

} // namespace

TEST_CASE("Content-Length with Transfer-Encoding is refused")
{
  checkRefused("POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
               400,
               "malformed");
}

TEST_CASE("two different Content-Lengths are refused")
{
  checkRefused("POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
               "Content-Length: 6\r\n\r\nabcdef",
               400,
               "malformed");
}

TEST_CASE("a negative Content-Length is refused")
{
  checkRefused(
    "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n", 400, "malformed");
}

TEST_CASE("an oversized header is refused")
{
  checkRefused("GET /lookup HTTP/1.1\r\nHost: x\r\nLong: " + QByteArray(40'000, 'a') +
                 "\r\n\r\n",
               431,
               "header-too-large");
}

TEST_CASE("an oversized body is refused")
{
  checkRefused("POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n",
               413,
               "body-too-large");
}

TEST_CASE("a header that is never finished is refused in time")
{
  checkRefused("GET /lookup HTTP/1.1\r\nHost: x\r\n", 408, "timeout");
}

TEST_CASE("a request that is not HTTP is refused")
{
  checkRefused("hello there\r\n\r\n", 400, "malformed");
}

TEST_CASE("a caller that hangs up while its answer is pending harms nobody")
{
  auto& system = sharedSystem();
  auto caller = connectCaller();
  caller.send(makeRequest("GET", "/lookup/slow", { { "Test-Service-Ms", "300" } }));
  REQUIRE(waitUntil([&] { return system.ledger().runs > 0; }));
  caller.hangUp();
  const auto next = system.call(0, makeRequest("GET", "/lookup/alive"));
  REQUIRE(next.has_value());
  CHECK(next->status == 200);
  CHECK(system.entry(0).isRunning());
}

TEST_CASE("HEAD is answered without a body, and the connection stays usable")
{
  auto caller = connectCaller();
  caller.send(makeRequest("HEAD", "/lookup/1"));
  const auto head = caller.receive(15'000, true);
  REQUIRE(head.has_value());
  CHECK(head->status == 200);
  CHECK(head->body.empty());
  caller.send(makeRequest("GET", "/lookup/2"));
  const auto get = caller.receive();
  REQUIRE(get.has_value());
  CHECK(get->body == "GET /lookup/2\n");
}

TEST_CASE("Connection: close ends the connection after the answer")
{
  auto caller = connectCaller();
  caller.send("GET /lookup/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  const auto response = caller.receive();
  REQUIRE(response.has_value());
  CHECK(response->status == 200);
  CHECK_FALSE(response->keepAlive);
  CHECK(caller.waitForClose());
}

TEST_CASE("an HTTP/1.0 caller is answered and its connection ends")
{
  auto caller = connectCaller();
  caller.send("GET /lookup/1 HTTP/1.0\r\n\r\n");
  const auto response = caller.receive();
  REQUIRE(response.has_value());
  CHECK(response->body == "GET /lookup/1\n");
  CHECK(caller.waitForClose());
}

TEST_CASE("two pipelined requests, slow then fast, are answered in order, each its own")
{
  auto caller = connectCaller();
  caller.send(makeRequest(
    "GET", "/lookup/slow", { { "Test-Service-Ms", "200" }, { "Request-Id", "slow" } }));
  caller.send(makeRequest(
    "GET", "/lookup/fast", { { "Test-Service-Ms", "1" }, { "Request-Id", "fast" } }));
  for (const std::string id : { "slow", "fast" }) {
    const auto response = caller.receive();
    REQUIRE(response.has_value());
    CHECK(http::findHeader(response->headers, "Echo-Id") == id);
    CHECK(response->body == "GET /lookup/" + id + "\n");
  }
}

TEST_CASE("a body sent after 100 Continue is taken")
{
  auto caller = connectCaller();
  caller.send("POST /orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: continue-1\r\n"
              "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
  // The interim response is passed over by the parser once the body's answer follows.
  caller.send("abc");
  const auto response = caller.receive();
  REQUIRE(response.has_value());
  CHECK(response->body == "POST /orders\nabc");
}

TEST_CASE("a path that no preset names is answered as not run")
{
  const auto response = sharedSystem().call(0, makeRequest("GET", "/nowhere"));
  REQUIRE(response.has_value());
  CHECK(response->status == 404);
  CHECK(outcomeOf(*response) == "not-run");
}
