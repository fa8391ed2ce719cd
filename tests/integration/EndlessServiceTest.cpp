#include "TestSystem.h"
#include "Wait.h"
#include <EndlessServer.h>
#include <PeakMemory.h>
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

// Guards against services of the platform that send bytes without end to the processes
// that read them.

namespace {

/** The target for a node's control. */
constexpr qint64 kMaxPeakKb = 128'000'000 / kKiB;

/** More than one fetch of the list that ends by its timeout. */
constexpr int kManyFetchesMs = 8000;

QString
urlOf(const EndlessServer& aServer)
{
  return QStringLiteral("http://127.0.0.1:%1").arg(aServer.port());
}

} // namespace

TEST_CASE("a VM list without end takes neither memory nor calls")
{
  SystemPlan plan;
  plan.vms = 1;
  TestSystem system(plan);
  REQUIRE(system.start());
  for (const auto& script : endlessScripts()) {
    const bool isLarge = std::string_view(script.name) == "chunks without end" ||
                         std::string_view(script.name) == "a body without length and end";
    if (!isLarge) {
      continue; // ServiceHttpTest has them all
    }
    CAPTURE(script.name);
    EndlessServer server(script);
    system.setVmListUrl(urlOf(server));
    system.control(0).kill();
    system.startControl(0);
    REQUIRE(waitUntil([&] { return server.bytesSent > 0; }));
    runEventsFor(kManyFetchesMs);
    CHECK(system.control(0).isRunning());
    CHECK(peakMemoryKb(system.control(0).pid()) < kMaxPeakKb);
    CHECK(system.control(0).standardOutput().contains(
      QStringLiteral("event=vm-list-unreachable")));
    const auto answer = system.call(0, makeRequest("GET", "/lookup"));
    CHECK(statusOf(answer) == 200);
    // The operator gets an answer of the command, and the control process another list.
    CHECK(system.ctl({ QStringLiteral("status") }).exitCode != 0);
    system.setVmListUrl({});
    system.control(0).kill();
    system.startControl(0);
    CHECK(
      waitUntil([&] { return system.ctl({ QStringLiteral("status") }).exitCode == 0; }));
  }
}
