#include "GatewaySystem.h"
#include "Wait.h"
#include <catch2/catch.hpp>
#include <csignal>

using namespace masticwall;
using namespace masticwall::test;

// Guards what tenants are promised: their keys let their calls in and nobody else's, also
// on open connections, and no key gets further than the VM that reads it.

namespace {

const char* const kTenants =
  R"(["sese",["key-sese-1","key-sese-2"],0],["bulk",["key-bulk"],5],)"
  R"(["one",["key-both"],null],["two",["key-both","key-two"],null])";

http::HeaderList
bearer(const std::string& aKey)
{
  return { { "Authorization", "Bearer " + aKey } };
}

std::optional<http::Response>
read(GatewaySystem& aSystem,
     int aGateway,
     const std::string& aKey,
     const std::string& aId = "probe")
{
  return aSystem.call(aGateway, "GET", "/read/1", aId, bearer(aKey));
}

/** Writes a configuration and waits until all gateways have it. */
bool
publish(GatewaySystem& aSystem, int aGateways, int aVersion)
{
  aSystem.writeConfig(aVersion);
  const auto text = "masticwall_preset_version " + std::to_string(aVersion);
  return waitUntil([&] {
    for (int i = 0; i < aGateways; ++i) {
      if (aSystem.metrics(i).find(text) == std::string::npos) {
        return false;
      }
    }
    return true;
  });
}

bool
publish(GatewaySystem& aSystem, int aGateways, int aVersion, const std::string& aTenants)
{
  aSystem.setTenants(aTenants);
  return publish(aSystem, aGateways, aVersion);
}

std::string
echoOf(const std::optional<http::Response>& aResponse, const char* aField)
{
  return aResponse.has_value() ? std::string(http::findHeader(aResponse->headers, aField))
                               : std::string("no response");
}

} // namespace

TEST_CASE("a key lets its tenant's calls in; the upstream gets the name, not the key")
{
  GatewaySystem system(1, 1);
  REQUIRE(system.start());
  REQUIRE(publish(system, 1, 2, kTenants));
  for (const auto* const key : { "key-sese-1", "key-sese-2" }) {
    const auto answer = system.call(0,
                                    "POST",
                                    "/order/1",
                                    key,
                                    { { "authorization", std::string("bEARER ") + key },
                                      { "Masticwall-Tenant", "bulk" },
                                      { "masticwall-tenant", "two" } });
    CHECK(statusOf(answer) == 200);
    CHECK(echoOf(answer, "Echo-Masticwall-Tenant") == "sese");
    CHECK(echoOf(answer, "Echo-Authorization").empty());
  }
  CHECK(echoOf(read(system, 0, "key-two"), "Echo-Masticwall-Tenant") == "two");
}

TEST_CASE(
  "a key that is missing, wrong or not clear is refused with 401 and runs nothing")
{
  GatewaySystem system(1, 1);
  REQUIRE(system.start());
  REQUIRE(publish(system, 1, 2, kTenants));
  const auto before = system.ledger().runs;
  const std::vector<http::HeaderList> wrong{
    {},
    { { "Masticwall-Tenant", "sese" } },
    bearer("sese"),
    bearer("key-sese-"),
    bearer("key-both"), // of two tenants
    bearer(""),
    bearer("key-sese-1 key-sese-2"),
    bearer(std::string(8000, 'k')),
    { { "Authorization", "Basic key-sese-1" } },
    { { "Authorization", "key-sese-1" } },
    { bearer("key-sese-1")[0], bearer("key-sese-1")[0] },
    { bearer("key-sese-1")[0], { "authorization", "Bearer key-bulk" } },
  };
  for (std::size_t i = 0; i < wrong.size(); ++i) {
    CAPTURE(i);
    const auto answer =
      system.call(0, "POST", "/order/1", "wrong-" + std::to_string(i), wrong[i]);
    CHECK(statusOf(answer) == 401);
    CHECK(echoOf(answer, "WWW-Authenticate") == "Bearer");
    CHECK(echoOf(answer, "Retry-After").empty());
  }
  CHECK(statusOf(system.call(0, "GET", "/nothing/", "no-route")) == 404);
  CHECK(system.ledger().runs == before);
  CHECK(system.metrics(0).find(R"(masticwall_key_refusals_total{result="repeated"} 2)") !=
        std::string::npos);
  REQUIRE(waitUntil([&] {
    return system.explain("wrong-0").contains(QStringLiteral("verdict=missing"));
  }));
}

TEST_CASE("a public route needs no key, and passes none on")
{
  GatewaySystem system(1, 1);
  REQUIRE(system.start());
  REQUIRE(publish(system, 1, 2, kTenants));
  const auto callOpen = [&](http::HeaderList aHeaders) {
    aHeaders.push_back({ "Masticwall-Tenant", "forged" });
    const auto answer = system.call(0, "GET", "/open/1", "open", aHeaders);
    CHECK(statusOf(answer) == 200);
    CHECK(echoOf(answer, "Echo-Authorization").empty());
    return echoOf(answer, "Echo-Masticwall-Tenant");
  };
  CHECK(callOpen({}).empty());
  CHECK(callOpen(bearer("nobody's")).empty());
  CHECK(callOpen(bearer("key-bulk")) == "bulk");
}

// Guards against a configuration with an empty list of tenants that opens all routes to
// any key, whichever way a gateway gets it.
TEST_CASE("when the last tenant is withdrawn, no key lets a call in any more")
{
  constexpr int kCutOff = 1;
  constexpr int kStartedLater = 2;
  GatewaySystem system(3, 1);
  system.cutFromStore(kCutOff);
  system.cutFromStore(kStartedLater);
  REQUIRE(system.start());
  REQUIRE(publish(system, 3, 2, R"(["sese",["key-1"],0])"));
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int i = 0; i < 3; ++i) {
    callers.push_back(
      std::make_unique<TestCaller>(system.gatewayHost(i), GatewaySystem::kFrontPort));
    callers.back()->send(
      GatewaySystem::makeCall("POST", "/order/1", "before", bearer("key-1")));
    CHECK(statusOf(callers.back()->receive(5000)) == 200);
  }
  system.setStore("save=1");
  REQUIRE(publish(system, 3, 3, ""));
  const auto before = system.ledger().runs;
  const auto refusesAll = [&](int aGateway) {
    for (const auto* const key : { "key-1", "never-held" }) {
      auto headers = bearer(key);
      headers.push_back({ "Masticwall-Tenant", "sese" });
      const auto answer = system.call(aGateway, "POST", "/order/1", key, headers);
      CHECK(statusOf(answer) == 401);
    }
    CHECK(statusOf(system.call(aGateway, "POST", "/order/1", "none")) == 401);
  };
  for (int i = 0; i < 3; ++i) {
    CAPTURE(i);
    refusesAll(i);
    callers[static_cast<std::size_t>(i)]->send(
      GatewaySystem::makeCall("POST", "/order/1", "kept", bearer("key-1")));
    CHECK(statusOf(callers[static_cast<std::size_t>(i)]->receive(5000)) == 401);
  }
  SECTION("in a gateway that reads the configuration again after SIGHUP")
  {
    for (int i = 0; i < 3; ++i) {
      system.writeSettings(i, 0.3);
      system.gateway(i).signal(SIGHUP);
    }
    runEventsFor(300);
    for (int i = 0; i < 3; ++i) {
      CAPTURE(i);
      refusesAll(i);
    }
  }
  SECTION("in gateways whose store comes back from a copy that still lists the tenant")
  {
    system.setStore("restore=1");
    const auto calls = system.setStore();
    REQUIRE(waitUntil([&] { return system.setStore() >= calls + 8; }));
    for (int i = 0; i < 3; ++i) {
      CAPTURE(i);
      refusesAll(i);
    }
  }
  SECTION("in a gateway that starts with it and has it from a peer alone")
  {
    system.gateway(kStartedLater).kill();
    system.startGateway(kStartedLater);
    REQUIRE(waitUntil([&] { return system.isReady(kStartedLater); }));
    refusesAll(kStartedLater);
  }
  CHECK(system.ledger().runs == before);
  const auto open = system.call(
    0, "GET", "/open/1", "open", { bearer("key-1")[0], { "Masticwall-Tenant", "sese" } });
  CHECK(statusOf(open) == 200);
  CHECK(echoOf(open, "Echo-Authorization").empty());
  CHECK(echoOf(open, "Echo-Masticwall-Tenant").empty());
  CHECK(system.state(0).find("\"tenants\":0") != std::string::npos);
  CHECK(waitUntil([&] {
    return system.logs().contains(QStringLiteral("version=3 routes=4 tenants=0"));
  }));
  // Without the list calls need no key again.
  system.omitTenants();
  REQUIRE(publish(system, 3, 4));
  CHECK(statusOf(read(system, 0, "never-held")) == 200);
  CHECK(waitUntil([&] {
    return system.logs().contains(QStringLiteral("version=4 routes=3 tenants=-"));
  }));
}

TEST_CASE("without tenants credentials are passed on as they came")
{
  GatewaySystem system(1, 1);
  REQUIRE(system.start());
  const auto answer =
    system.call(0,
                "GET",
                "/read/1",
                "plain",
                { bearer("anything")[0], { "Masticwall-Tenant", "anyone" } });
  CHECK(statusOf(answer) == 200);
  CHECK(echoOf(answer, "Echo-Authorization") == "Bearer anything");
  CHECK(echoOf(answer, "Echo-Masticwall-Tenant") == "anyone");
}

TEST_CASE("keys change at once on connections that are open")
{
  GatewaySystem system(2, 1);
  REQUIRE(system.start());
  REQUIRE(publish(system, 2, 2, R"(["sese",["key-1"],0])"));
  std::vector<std::unique_ptr<TestCaller>> callers;
  const auto send = [&](int aGateway, const std::string& aKey) {
    auto& caller = *callers[static_cast<std::size_t>(aGateway)];
    caller.send(GatewaySystem::makeCall("GET", "/read/1", "open", bearer(aKey)));
    return statusOf(caller.receive(5000));
  };
  for (int i = 0; i < 2; ++i) {
    callers.push_back(
      std::make_unique<TestCaller>(system.gatewayHost(i), GatewaySystem::kFrontPort));
    CHECK(send(i, "key-1") == 200);
  }
  REQUIRE(publish(system, 2, 3, R"(["sese",["key-2"],0])"));
  for (int i = 0; i < 2; ++i) {
    CHECK(send(i, "key-1") == 401);
    CHECK(send(i, "key-2") == 200);
    CHECK(callers[static_cast<std::size_t>(i)]->isConnected());
  }
}

TEST_CASE("a gateway that missed a version learns of its keys before it refuses one")
{
  GatewaySystem system(2, 1);
  REQUIRE(system.start());
  REQUIRE(waitUntil([&] { return system.listedGateways() == 2; }));
  REQUIRE(publish(system, 2, 2, R"(["sese",["key-2"],0])"));
  // Whichever reads the store: each is the one that misses the version for a while.
  for (int version = 3; version < 11; ++version) {
    const int late = version % 2;
    const auto key = "key-" + std::to_string(version);
    system.gateway(late).signal(SIGSTOP);
    system.setTenants(R"(["sese",[")" + key + R"("],0])");
    system.writeConfig(version);
    CHECK(waitUntil([&] { return statusOf(read(system, 1 - late, key)) == 200; }));
    TestCaller caller(system.gatewayHost(late), GatewaySystem::kFrontPort);
    caller.send(GatewaySystem::makeCall("GET", "/read/1", "late", bearer(key)));
    system.gateway(late).signal(SIGCONT);
    CAPTURE(version);
    CHECK(statusOf(caller.receive(5000)) == 200);
  }
}

TEST_CASE("a gateway that is cut off from the store learns of withdrawn keys from a peer")
{
  constexpr int kRevokeMs = 1500;
  GatewaySystem system(2, 1);
  system.setKeyPolicy(true, kRevokeMs);
  system.cutFromStore(1);
  REQUIRE(system.start());
  REQUIRE(publish(system, 2, 2, R"(["sese",["key-1"],0])"));
  TestCaller caller(system.gatewayHost(1), GatewaySystem::kFrontPort);
  const auto send = [&](const std::string& aKey) {
    caller.send(GatewaySystem::makeCall("GET", "/read/1", "cut", bearer(aKey)));
    return statusOf(caller.receive(5000));
  };
  CHECK(send("key-1") == 200);
  REQUIRE(publish(system, 2, 3, R"(["sese",["key-2"],0])"));
  CHECK(send("key-1") == 401);
  CHECK(send("key-2") == 200);
  // Its peer's news keep it open for longer than it would be without any.
  runEventsFor(kRevokeMs + 1000);
  CHECK(send("key-2") == 200);
  system.gateway(0).kill();
  CHECK(waitUntil([&] { return send("key-2") == 503; }));
}

TEST_CASE("a gateway without news of the store goes on, or closes as the operator wants")
{
  for (const bool failsClosed : { false, true }) {
    CAPTURE(failsClosed);
    GatewaySystem system(2, 1);
    system.setKeyPolicy(failsClosed, 1500);
    REQUIRE(system.start());
    REQUIRE(publish(system, 2, 2, kTenants));
    system.setStore("refuse=1");
    for (int i = 0; i < 2; ++i) {
      // What can't be judged any more is not refused as wrong.
      CHECK(waitUntil([&] { return statusOf(read(system, i, "new-key")) == 503; }));
      CHECK(statusOf(read(system, i, "key-two")) == (failsClosed ? 503 : 200));
      CHECK(statusOf(system.call(i, "GET", "/read/1", "none")) == 401);
      CHECK(statusOf(system.call(i, "GET", "/open/1", "open")) == 200);
    }
    system.setStore("refuse=0");
    for (int i = 0; i < 2; ++i) {
      CHECK(waitUntil([&] { return statusOf(read(system, i, "new-key")) == 401; }));
      CHECK(statusOf(read(system, i, "key-two")) == 200);
    }
  }
}

TEST_CASE("no key stands in a log, a metric or a state dump; the tenant's name does")
{
  GatewaySystem system(2, 1);
  REQUIRE(system.start());
  REQUIRE(publish(system, 2, 2, kTenants));
  CHECK(statusOf(read(system, 0, "key-sese-1", "good")) == 200);
  CHECK(statusOf(read(system, 0, "key-nobody", "bad")) == 401);
  CHECK(statusOf(read(system, 0, "key-both", "both")) == 401);
  system.upstream(0).kill();
  // Ended without an answer, so that it is logged.
  CHECK(statusOf(system.call(0, "POST", "/order/1", "lost", bearer("key-bulk"))) >= 500);
  REQUIRE(waitUntil(
    [&] { return system.explain("lost").contains(QStringLiteral("tenant=bulk")); }));
  CHECK(system.explain("bad").contains(QStringLiteral("verdict=unknown")));
  QString all = QString::fromStdString(system.metrics(0) + system.state(0));
  CHECK(all.contains(QStringLiteral("\"preset\"")));
  all += system.logs();
  CHECK(all.contains(QStringLiteral("tenant=\"sese\"")));
  CHECK(all.contains(QStringLiteral("tenant-key-bad")));
  for (const auto* const it :
       { "key-sese", "key-bulk", "key-both", "key-two", "nobody" }) {
    CAPTURE(it);
    CHECK_FALSE(all.contains(QLatin1String(it)));
  }
}
