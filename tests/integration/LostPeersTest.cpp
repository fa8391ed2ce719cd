#include "GatewaySystem.h"
#include "Wait.h"
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

// Guards against waiting for VMs that are gone but still listed: a VM that is left must
// read the store as soon after an outage as the first of all would.

namespace {

constexpr int kGoneVms = 12;
constexpr int kOutages = 4;

/** A new version must be in force within this time after the operator's write. */
constexpr auto kConfigBound = std::chrono::seconds(2);

/** Lists VMs that come first in the order of reading, but don't run. */
void
listGoneVms(GatewaySystem& aSystem)
{
  for (int i = 0; i < kGoneVms; ++i) {
    aSystem.writeRecord("keyed.members",
                        "gone-" + std::to_string(i),
                        R"({"host":")" + aSystem.host(200 + i).toString().toStdString() +
                          R"(","port":8382,"data_centre":"recife","region":"litoral",)" +
                          R"("capacity":1000})");
  }
}

} // namespace

TEST_CASE("a VM whose peers are gone reads the store soon after a short outage")
{
  GatewaySystem system(1, 1);
  REQUIRE(system.start());
  listGoneVms(system);
  const auto calls = system.setStore();
  REQUIRE(waitUntil([&] { return system.setStore() >= calls + 12; }));
  int version = 10;
  for (int i = 0; i < kOutages; ++i) {
    CAPTURE(i);
    system.setStore("refuse=1");
    const auto before = system.setStore();
    REQUIRE(waitUntil([&] { return system.setStore() > before; }));
    system.setStore("refuse=0");
    system.writeConfig(++version);
    const auto start = std::chrono::steady_clock::now();
    const auto path = "/v" + std::to_string(version) + '/';
    REQUIRE(
      waitUntil([&] { return statusOf(system.call(0, "GET", path, "after")) == 200; }));
    CHECK(std::chrono::steady_clock::now() - start < kConfigBound);
  }
}

TEST_CASE("a VM that is back after a long absence feeds the others again")
{
  GatewaySystem system(2, 1);
  REQUIRE(system.start());
  REQUIRE(waitUntil([&] { return system.listedGateways() == 2; }));
  QString logs[2];
  const auto hasLogged = [&](int aGateway, const char* aText) {
    logs[aGateway] += system.gateway(aGateway).standardOutput();
    return logs[aGateway].contains(QString::fromUtf8(aText));
  };
  // One of the two is fed by the other; which one depends on their names.
  int reader = -1;
  REQUIRE(waitUntil([&] {
    for (int i = 0; i < 2; ++i) {
      const auto page = system.metrics(i);
      if (page.find(R"(masticwall_feeds_total{result="ok"})") != std::string::npos) {
        reader = 1 - i;
      }
    }
    return reader >= 0;
  }));
  const int fed = 1 - reader;
  system.gateway(reader).kill();
  CHECK(waitUntil([&] { return hasLogged(fed, "event=peer-absent"); }));
  system.writeConfig(20);
  CHECK(waitUntil(
    [&] { return statusOf(system.call(fed, "GET", "/v20/", "alone")) == 200; }));
  system.startGateway(reader);
  CHECK(waitUntil([&] { return hasLogged(fed, "event=peer-present"); }));
  // With two readers the store would get twice as many calls.
  system.writeConfig(21);
  for (int i = 0; i < 2; ++i) {
    CHECK(
      waitUntil([&] { return statusOf(system.call(i, "GET", "/v21/", "both")) == 200; }));
  }
}

TEST_CASE("a VM that was taken off the list lists itself again")
{
  GatewaySystem system(2, 1);
  REQUIRE(system.start());
  REQUIRE(waitUntil([&] { return system.listedGateways() == 2; }));
  for (int i = 0; i < 2; ++i) {
    system.writeRecord("keyed.members", "front-" + std::to_string(i), "");
  }
  CHECK(waitUntil([&] { return system.listedGateways() == 2; }));
}
