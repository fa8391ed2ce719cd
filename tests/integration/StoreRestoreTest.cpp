#include "GatewaySystem.h"
#include "Wait.h"
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

// Guards against believing a store that has come back from an older copy: what was
// written since is missing, and what has left since is listed again.

namespace {

bool
hasMetric(GatewaySystem& aSystem, int aGateway, const std::string& aText)
{
  return aSystem.metrics(aGateway).find(aText) != std::string::npos;
}

/** Waits until the gateways have read the store a few times. */
void
waitForReads(GatewaySystem& aSystem)
{
  const auto calls = aSystem.setStore();
  REQUIRE(waitUntil([&] { return aSystem.setStore() >= calls + 8; }));
}

} // namespace

TEST_CASE("an upstream that has left is not used when an older copy lists it again")
{
  GatewaySystem system(2, 2);
  REQUIRE(system.start());
  system.setStore("save=1");
  system.listUpstream(0, "");
  for (int i = 0; i < 2; ++i) {
    REQUIRE(waitUntil([&] { return hasMetric(system, i, "masticwall_upstreams 1"); }));
  }
  const auto before = system.ledgerOf(0).requests();
  system.setStore("restore=1");
  const auto start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - start < std::chrono::seconds(4)) {
    for (int i = 0; i < 2; ++i) {
      CHECK(statusOf(system.call(i, "GET", "/read/1", "after")) == 200);
    }
    runEventsFor(20);
  }
  CHECK(system.ledgerOf(0).requests() == before);
  // The store has dropped the entry; a later one is of an upstream that is alive.
  system.listUpstream(0, "");
  runEventsFor(4000);
  system.listUpstream(0, "ready", 1'700'000'000'000, 9);
  CHECK(waitUntil([&] { return hasMetric(system, 0, "masticwall_upstreams 2"); }));
}

TEST_CASE("upstreams that an older copy lacks are used until they list themselves again")
{
  GatewaySystem system(2, 1);
  system.start(); // its only upstream is listed
  system.listUpstream(0, "");
  for (int i = 0; i < 2; ++i) {
    REQUIRE(waitUntil([&] { return hasMetric(system, i, "masticwall_upstreams 0"); }));
  }
  system.setStore("save=1");
  system.listUpstream(0, "ready", 1'700'000'001'000);
  for (int i = 0; i < 2; ++i) {
    REQUIRE(waitUntil([&] { return hasMetric(system, i, "masticwall_upstreams 1"); }));
  }
  system.setStore("restore=1");
  const auto start = std::chrono::steady_clock::now();
  bool isListedAgain = false;
  while (std::chrono::steady_clock::now() - start < std::chrono::seconds(3)) {
    for (int i = 0; i < 2; ++i) {
      CHECK(statusOf(system.call(i, "GET", "/read/1", "after")) == 200);
    }
    if (!isListedAgain &&
        std::chrono::steady_clock::now() - start > std::chrono::milliseconds(1200)) {
      isListedAgain = true;
      system.listUpstream(0, "ready", 1'700'000'001'000, 2);
    }
    runEventsFor(20);
  }
}

TEST_CASE("VMs that an older copy lacks count all the while, and list themselves again")
{
  GatewaySystem system(1, 1);
  REQUIRE(system.start());
  system.setStore("save=1");
  system.addGateway();
  system.addGateway();
  for (int i = 0; i < 3; ++i) {
    REQUIRE(waitUntil([&] { return hasMetric(system, i, "masticwall_entries 3"); }));
  }
  waitForReads(system);
  system.setStore("restore=1");
  const auto start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - start < std::chrono::seconds(8)) {
    for (int i = 0; i < 3; ++i) {
      CHECK(hasMetric(system, i, "masticwall_entries 3"));
    }
    runEventsFor(100);
  }
  CHECK(system.listedGateways() == 3);
}

TEST_CASE("a VM that starts with an older copy takes the newer preset of the others")
{
  GatewaySystem system(3, 1);
  REQUIRE(system.start());
  REQUIRE(waitUntil([&] { return system.listedGateways() == 3; }));
  system.setStore("save=1");
  system.writeConfig(5);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(waitUntil(
      [&] { return statusOf(system.call(i, "GET", "/v5/", "before")) == 200; }));
  }
  system.setStore("restore=1");
  for (int i = 0; i < 3; ++i) {
    CAPTURE(i);
    system.gateway(i).kill();
    system.startGateway(i);
    REQUIRE(waitUntil([&] { return system.isReady(i); }));
    CHECK(waitUntil(
      [&] { return statusOf(system.call(i, "GET", "/v5/", "after")) == 200; }, 1000));
  }
}

TEST_CASE("an era of the store that is missing, odd or lower changes nothing")
{
  GatewaySystem system(2, 1);
  REQUIRE(system.start());
  int version = 10;
  for (const auto* const it :
       { "none", "x", "-1", "0", "99999999999999999999", "7", "3" }) {
    CAPTURE(it);
    system.setStore(std::string("era=") + it);
    system.writeConfig(++version);
    const auto path = "/v" + std::to_string(version) + '/';
    for (int i = 0; i < 2; ++i) {
      CHECK(waitUntil([&] { return statusOf(system.call(i, "GET", path, "odd")) == 200; },
                      3000));
      CHECK(statusOf(system.call(i, "GET", "/read/1", "odd")) == 200);
    }
  }
}
