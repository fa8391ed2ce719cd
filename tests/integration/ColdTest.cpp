#include "LookupRun.h"
#include "Wait.h"
#include "WindowedCount.h"
#include <QUrl>
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

// Upstreams that are cold, and take few requests a second meanwhile, from all VMs
// together.

namespace {

constexpr double kWarmUpPerSecond = 5.0;
constexpr std::chrono::seconds kWindow(1);

/** The requests that a cold upstream may get within kWindow. */
constexpr int kMaxInWindow = 15;

/** Of the requests that a stand-in has taken, without load queries. */
WindowedCount
runsOf(GatewaySystem& aSystem, int aUpstream)
{
  return { [&aSystem, aUpstream] {
            const auto ledger = aSystem.ledgerOf(aUpstream);
            return ledger.runs + ledger.rejections;
          },
           kWindow };
}

bool
hasSignal(GatewaySystem& aSystem, int aGateway, const std::string& aResult)
{
  const auto text = aSystem.metrics(aGateway);
  return text.find("result=\"" + aResult + '"') != std::string::npos;
}

/** Whether an upstream gets more than a cold one may get, at some time. */
bool
getsManyRequests(GatewaySystem& aSystem, int aUpstream)
{
  auto requests = runsOf(aSystem, aUpstream);
  return waitUntil([&] {
    sendLookups(
      aSystem, { 0, 1, 2 }, std::chrono::milliseconds(500), [&] { requests.sample(); });
    return requests.max() > kMaxInWindow;
  });
}

} // namespace

TEST_CASE("an upstream that becomes cold gets few requests until it is warm")
{
  constexpr int kColdMs = 6000;
  GatewaySystem system(3, 2);
  system.setWarmUpPerSecond(kWarmUpPerSecond);
  REQUIRE(system.start());
  CHECK(getsManyRequests(system, 0));
  system.setUpstream(0, "cold_ms=" + std::to_string(kColdMs));
  auto requests = runsOf(system, 0);
  const auto sample = [&] { requests.sample(); };
  sample();
  auto counts = sendLookups(system, { 0, 1, 2 }, std::chrono::seconds(3), sample);
  CHECK(counts.refused + counts.other == 0); // the other one has room
  system.gateway(1).kill();
  system.startGateway(1);
  counts = sendLookups(system, { 0, 2 }, std::chrono::seconds(2), sample);
  CHECK(counts.refused + counts.other == 0);
  CHECK(requests.max() <= kMaxInWindow);
  CHECK(hasSignal(system, 0, "cold"));
  CHECK(getsManyRequests(system, 0));
}

TEST_CASE("a new instance that is listed as cold gets few requests from the first one on")
{
  constexpr qint64 kLaterStartMs = 1'700'000'001'000;
  GatewaySystem system(3, 1);
  system.setWarmUpPerSecond(kWarmUpPerSecond);
  REQUIRE(system.start());
  system.setListedWarmUp("30s");
  system.listUpstream(0, "ready", kLaterStartMs);
  REQUIRE(waitUntil([&] {
    return hasSignal(system, 0, "cold") && hasSignal(system, 1, "cold") &&
           hasSignal(system, 2, "cold");
  }));
  auto requests = runsOf(system, 0);
  const auto sample = [&] { requests.sample(); };
  const auto counts = sendLookups(system, { 0, 1, 2 }, std::chrono::seconds(3), sample);
  CHECK(requests.max() <= kMaxInWindow);
  CHECK(counts.served >= 0.7 * kWarmUpPerSecond * 3);
  CHECK(counts.refused > 0);
  CHECK(counts.other == 0);
  CHECK(counts.slowestRefusal < std::chrono::milliseconds(500));
  system.setListedWarmUp("0ms");
  system.listUpstream(0, "ready", kLaterStartMs, 2);
  CHECK(getsManyRequests(system, 0));
}

TEST_CASE("a warm-up that is no time, or an absurd one, is logged and ignored")
{
  GatewaySystem system(3, 1);
  system.setWarmUpPerSecond(kWarmUpPerSecond);
  REQUIRE(system.start());
  for (const auto* const it : { "soon", "-5s", "31536000s", "nan" }) {
    CAPTURE(it);
    system.setUpstream(0, std::string("warm_up_text=") + it);
    const auto counts = sendLookups(system, { 0, 1, 2 }, std::chrono::milliseconds(500));
    CHECK(counts.refused + counts.other == 0);
  }
  CHECK(hasSignal(system, 0, "bad-warm-up"));
  CHECK_FALSE(hasSignal(system, 0, "cold"));
}

TEST_CASE("without a rate in the configuration, cold upstreams get requests as others")
{
  GatewaySystem system(3, 1);
  system.setListedWarmUp("30s");
  REQUIRE(system.start());
  system.setUpstream(0, "cold_ms=6000");
  const auto counts = sendLookups(system, { 0, 1, 2 }, std::chrono::seconds(2));
  CHECK(counts.refused + counts.other == 0);
  CHECK_FALSE(hasSignal(system, 0, "cold"));
}
