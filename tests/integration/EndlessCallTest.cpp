#include "GatewaySystem.h"
#include "Wait.h"
#include <EndlessServer.h>
#include <PeakMemory.h>
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

// Guards against upstreams that send bytes without end to a gateway, in each place of an
// answer to a call, to many requests at once, while others go on.

namespace {

/** The users' bound on a gateway's memory while its upstreams send without end. */
constexpr qint64 kMaxPeakKb = 64 * kMiB / kKiB;

/** As the users configure it. */
constexpr qint64 kMaxBodyBytes = 64 * kMiB;

constexpr int kCallers = 24;

/** The units go to the upstream in fields of requests. */
constexpr qsizetype kFillerBytes = kKiB;

/** The scripts as our upstream's signs make them answers to the requests themselves. */
std::vector<EndlessScript>
signedScripts()
{
  auto scripts = endlessScripts(kFillerBytes);
  for (auto& it : scripts) {
    it.beginning.replace("Request-Id: own\r\n", "{signs}");
  }
  return scripts;
}

std::string
encoded(const QByteArray& aBytes)
{
  return aBytes.toPercentEncoding().toStdString();
}

/** A lookup, or an order. */
http::Request
makeCall(const std::string& aMethod,
         const std::string& aId,
         const http::HeaderList& aMore = {})
{
  const auto* const path = aMethod == "POST" ? "/order/1" : "/read/1";
  return GatewaySystem::makeCall(aMethod, path, aId, aMore);
}

/** Whether a lookup and an order of others get their answers. */
bool
servesOthers(GatewaySystem& aSystem, const std::string& aId)
{
  const auto lookup = aSystem.call(0, "GET", "/read/1", "lookup-" + aId);
  const auto order = aSystem.call(0, "POST", "/order/1", "order-" + aId);
  return statusOf(lookup) == 200 && statusOf(order) == 200;
}

} // namespace

TEST_CASE("answers without end, in each place, are cut off, and others are served")
{
  GatewaySystem system(1, 3);
  system.setMaxBodyBytes(kMaxBodyBytes);
  REQUIRE(system.start());
  int n = 0;
  for (const auto& script : signedScripts()) {
    CAPTURE(script.name);
    ++n;
    const http::HeaderList ask{ { "Test-Raw-Answer", encoded(script.beginning) },
                                { "Test-Raw-Unit", encoded(script.unit) } };
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(
        std::make_unique<TestCaller>(system.gatewayHost(0), GatewaySystem::kFrontPort));
      const auto id = std::to_string(n) + '-' + std::to_string(i);
      callers.back()->send(makeCall(i % 2 == 0 ? "GET" : "POST", "endless-" + id, ask));
    }
    CHECK(waitUntil([&] { return servesOthers(system, "during-" + std::to_string(n)); }));
    for (int i = 0; i < kCallers; ++i) {
      const auto response = callers[static_cast<std::size_t>(i)]->receiveRaw(8000);
      REQUIRE(response.has_value());
      const auto id = "endless-" + std::to_string(n) + '-' + std::to_string(i);
      const auto runs = system.runsOf(id);
      if (i % 2 == 0) {
        CHECK((response->status() == "502" || response->status() == "504" ||
               response->status() == "503"));
        CHECK(runs <= 2);
      } else {
        // An order that ran is never reported as not run.
        CHECK(runs <= 1);
        CHECK((response->status() == "502" || response->status() == "504" ||
               (response->status() == "503" && runs == 0)));
      }
    }
    CHECK(waitUntil([&] { return servesOthers(system, "after-" + std::to_string(n)); }));
    REQUIRE(system.gateway(0).isRunning());
    CHECK(peakMemoryKb(system.gateway(0).pid()) < kMaxPeakKb);
  }
}
