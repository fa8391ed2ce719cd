#include "GatewaySystem.h"
#include "Wait.h"
#include <catch2/catch.hpp>
#include <deque>
#include <set>

using namespace masticwall;
using namespace masticwall::test;

// Guards tenants' quotas over all VMs: what lies beyond is refused at once, and what lies
// within is served, by whichever VM.

namespace {

using Clock = std::chrono::steady_clock;

constexpr double kPerSecond = 20.0;
constexpr double kBurst = 10.0;
constexpr auto kWindow = std::chrono::seconds(5);

/** What the default tolerance allows within a window: nothing beyond the quota. */
constexpr double kMaxInWindow = 5.0 * kPerSecond + kBurst;

struct QuotaCounts
{
  int served = 0;
  int refused = 0;
  int other = 0;
  int worstWindow = 0;
  std::chrono::milliseconds slowestRefusal{ 0 };
  double lowestRetryAfter = 1e9;
};

bool
publish(GatewaySystem& aSystem, int aGateways, int aVersion, const std::string& aTenants)
{
  aSystem.setTenants(aTenants);
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

std::string
quotaOf(double aPerSecond)
{
  return R"(["hot",["key-hot"],null,)" + std::to_string(aPerSecond) + ',' +
         std::to_string(kBurst) + R"(],["free",["key-free"],null])";
}

/** Sends lookups of a tenant to the gateways in turn for `aTime`, every `aGap`. */
QuotaCounts
sendLookups(GatewaySystem& aSystem,
            const std::vector<int>& aGateways,
            std::chrono::milliseconds aTime,
            int aGapMs = 5,
            const std::string& aKey = "key-hot")
{
  QuotaCounts counts;
  std::deque<Clock::time_point> served;
  const auto end = Clock::now() + aTime;
  for (std::size_t i = 0; Clock::now() < end; ++i) {
    const auto sentAt = Clock::now();
    const auto answer = aSystem.call(aGateways[i % aGateways.size()],
                                     "GET",
                                     "/read/1",
                                     "quota",
                                     { { "Authorization", "Bearer " + aKey } });
    const auto now = Clock::now();
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(now - sentAt);
    if (statusOf(answer) == 200) {
      ++counts.served;
      served.push_back(now);
      while (served.front() < now - kWindow) {
        served.pop_front();
      }
      counts.worstWindow = std::max(counts.worstWindow, static_cast<int>(served.size()));
    } else if (statusOf(answer) == 429) {
      ++counts.refused;
      counts.slowestRefusal = std::max(counts.slowestRefusal, took);
      const auto text = http::findHeader(answer->headers, "Retry-After");
      counts.lowestRetryAfter = std::min(
        counts.lowestRetryAfter, text.empty() ? 0.0 : std::stod(std::string(text)));
    } else {
      ++counts.other;
    }
    runEventsFor(aGapMs);
  }
  return counts;
}

} // namespace

TEST_CASE("a tenant's calls to all VMs, or to one, keep within its quota and use it")
{
  GatewaySystem system(3, 4);
  REQUIRE(system.start());
  REQUIRE(publish(system, 3, 2, quotaOf(kPerSecond)));
  for (const auto& gateways : { std::vector<int>{ 0, 1, 2 }, { 0 }, { 1 }, { 2 } }) {
    CAPTURE(gateways);
    constexpr int kSeconds = 6;
    const auto counts = sendLookups(system, gateways, std::chrono::seconds(kSeconds));
    CHECK(counts.worstWindow <= kMaxInWindow);
    CHECK(counts.served >= 0.9 * kPerSecond * kSeconds);
    CHECK(counts.refused > 0);
    CHECK(counts.other == 0);
    CHECK(counts.slowestRefusal < std::chrono::milliseconds(200));
    CHECK(counts.lowestRetryAfter > 0.0);
  }
  const auto log = system.logs();
  CHECK(log.contains(QStringLiteral("event=over-quota")));
  CHECK(log.contains(QStringLiteral("tenant=hot")));
  CHECK(system.state(0).find(R"("tenant":"hot")") != std::string::npos);
}

TEST_CASE("calls within the quota are served, and those of a tenant without one always")
{
  GatewaySystem system(3, 4);
  REQUIRE(system.start());
  REQUIRE(publish(system, 3, 2, quotaOf(kPerSecond)));
  const auto within = sendLookups(system, { 0, 1, 2 }, std::chrono::seconds(5), 80);
  CHECK(within.refused + within.other == 0);
  CHECK(within.served > 30);
  const auto free =
    sendLookups(system, { 0, 1, 2 }, std::chrono::seconds(2), 5, "key-free");
  CHECK(free.refused + free.other == 0);
  CHECK(system.metrics(0).find("tenant=\"hot\",verdict") == std::string::npos);
}

TEST_CASE("a quota holds and is used while the VMs are killed and started in turn")
{
  GatewaySystem system(3, 4);
  REQUIRE(system.start());
  REQUIRE(publish(system, 3, 2, quotaOf(kPerSecond)));
  for (int gone = 0; gone < 3; ++gone) {
    CAPTURE(gone);
    const std::vector<int> left{ (gone + 1) % 3, (gone + 2) % 3 };
    sendLookups(system, left, std::chrono::seconds(1));
    system.gateway(gone).kill();
    const auto counts = sendLookups(system, left, std::chrono::seconds(5));
    CHECK(counts.worstWindow <= kMaxInWindow);
    CHECK(counts.served >= 0.7 * kPerSecond * 5);
    CHECK(counts.other == 0);
    system.startGateway(gone);
    REQUIRE(waitUntil([&] { return system.isReady(gone); }));
  }
}

TEST_CASE("a quota that is lowered and raised binds soon")
{
  GatewaySystem system(2, 2);
  REQUIRE(system.start());
  REQUIRE(publish(system, 2, 2, quotaOf(kPerSecond)));
  sendLookups(system, { 0, 1 }, std::chrono::seconds(2));
  REQUIRE(publish(system, 2, 3, quotaOf(2.0)));
  sendLookups(system, { 0, 1 }, std::chrono::seconds(1));
  const auto low = sendLookups(system, { 0, 1 }, std::chrono::seconds(5));
  CHECK(low.served <= 5 * 2.0 + kBurst);
  REQUIRE(publish(system, 2, 4, quotaOf(100.0)));
  const auto high = sendLookups(system, { 0, 1 }, std::chrono::seconds(2), 20);
  CHECK(high.served >= 0.9 * (high.served + high.refused));
  CHECK(high.other == 0);
}

TEST_CASE("a rate that makes no sense is logged and is no limit")
{
  GatewaySystem system(1, 1);
  REQUIRE(system.start());
  REQUIRE(publish(system, 1, 2, quotaOf(-5.0)));
  const auto counts = sendLookups(system, { 0 }, std::chrono::seconds(1));
  CHECK(counts.refused + counts.other == 0);
}
