#include "GatewaySystem.h"
#include "Wait.h"
#include <EndlessServer.h>
#include <PeakMemory.h>
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

// Guards against upstreams, and a store, that send bytes without end to a gateway other
// than in answers to calls; for these see EndlessCallTest.

namespace {

/** The users' bound on a gateway's memory while its upstreams send without end. */
constexpr qint64 kMaxPeakKb = 64 * kMiB / kKiB;

/** As the users configure it. */
constexpr qint64 kMaxBodyBytes = 64 * kMiB;

constexpr int kCallers = 24;

/** The units go to the upstream in fields of requests. */
constexpr qsizetype kFillerBytes = kKiB;

std::string
encoded(const QByteArray& aBytes)
{
  return aBytes.toPercentEncoding().toStdString();
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

TEST_CASE("bytes without end on a connection with no request are cut off")
{
  GatewaySystem system(1, 3);
  system.setMaxBodyBytes(kMaxBodyBytes);
  REQUIRE(system.start());
  const http::HeaderList ask{
    { "Test-Raw-Answer",
      encoded("HTTP/1.1 200 OK\r\n{signs}Content-Length: 3\r\n\r\nown") },
    { "Test-Raw-Unit", encoded(QByteArray(kFillerBytes, 'x')) },
    { "Test-Raw-Pause-Ms", "30" }
  };
  for (int i = 0; i < kCallers; ++i) {
    const auto id = std::to_string(i);
    CHECK(statusOf(system.call(0, "GET", "/read/1", "before-" + id, ask)) == 200);
    runEventsFor(50);
    CHECK(servesOthers(system, id));
  }
  CHECK(system.gateway(0).isRunning());
  CHECK(peakMemoryKb(system.gateway(0).pid()) < kMaxPeakKb);
}

TEST_CASE("answers to load queries without end are cut off, and callers are served")
{
  GatewaySystem system(1, 3);
  system.setMaxBodyBytes(kMaxBodyBytes);
  REQUIRE(system.start());
  int n = 0;
  for (const auto& script : endlessScripts(kFillerBytes)) {
    CAPTURE(script.name);
    ++n;
    for (int i = 0; i < 3; ++i) {
      system.setUpstream(i,
                         "hide_load=1&raw_health=" + encoded(script.beginning) +
                           "&raw_health_unit=" + encoded(script.unit));
    }
    for (int i = 0; i < 10; ++i) {
      const auto id = std::to_string(n) + '-' + std::to_string(i);
      CHECK(servesOthers(system, id));
    }
  }
  CHECK(system.metrics(0).find("masticwall_load_queries_total{result=\"failed\"}") !=
        std::string::npos);
  CHECK(system.gateway(0).isRunning());
  CHECK(peakMemoryKb(system.gateway(0).pid()) < kMaxPeakKb);
}

TEST_CASE("a store that sends bytes without end takes neither memory nor calls")
{
  // Some reads of the store that end by their timeout.
  constexpr int kSomeReadsMs = 2000;
  GatewaySystem system(1, 2);
  REQUIRE(system.start());
  system.stopStore();
  int n = 0;
  for (const auto& script : endlessScripts()) {
    CAPTURE(script.name);
    ++n;
    EndlessServer store(script, system.storeHost(), GatewaySystem::kStorePort);
    REQUIRE(waitUntil([&] { return store.bytesSent > 0; }));
    runEventsFor(kSomeReadsMs);
    CHECK(servesOthers(system, std::to_string(n)));
    REQUIRE(system.gateway(0).isRunning());
    CHECK(peakMemoryKb(system.gateway(0).pid()) < kMaxPeakKb);
  }
}
