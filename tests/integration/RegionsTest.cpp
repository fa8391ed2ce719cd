#include "GatewaySystem.h"
#include "Wait.h"
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::test;

// Guards against calls that leave the regions in which their route allows them to run.

namespace {

constexpr int kNear = 0; ///< upstreams: in the gateways' region, and in the other one
constexpr int kFar = 1;

/** A gateway in "litoral", and an upstream in each region. */
class TestRegions
{
public:
  TestRegions()
    : mSystem(1, 2)
  {
    mSystem.placeUpstream(kFar, "petrolina");
    REQUIRE(mSystem.start());
  }

  GatewaySystem& system() { return mSystem; }

  /** Writes a configuration and waits until it is in force. */
  void allowReadsIn(const std::string& aRegions)
  {
    const auto version = ++mVersion;
    mSystem.allowReadsIn(aRegions);
    mSystem.writeConfig(version);
    const auto path = "/v" + std::to_string(version) + '/';
    REQUIRE(waitUntil(
      [&] { return statusOf(mSystem.call(0, "GET", path, "version")) != 404; }));
  }

  /** The status of so many calls; -1 if they differ. */
  int callMany(const std::string& aPath, int aCalls = 30)
  {
    int status = 0;
    for (int i = 0; i < aCalls; ++i) {
      const auto id = "r-" + std::to_string(++mCalls);
      const auto n = statusOf(mSystem.call(0, "GET", aPath, id));
      status = i == 0 || n == status ? n : -1;
    }
    return status;
  }

  int runsOf(int aUpstream) const { return mSystem.ledgerOf(aUpstream).runs; }

private:
  GatewaySystem mSystem;
  int mVersion = 1;
  int mCalls = 0;
};

} // namespace

TEST_CASE("calls run in the allowed regions only, and are refused at once without any")
{
  TestRegions regions;
  auto& system = regions.system();
  regions.allowReadsIn(R"(["sertao"])");
  auto near = regions.runsOf(kNear);
  CHECK(regions.callMany("/read/1") == 200);
  CHECK(regions.runsOf(kNear) == near);

  // The upstream there fails, then ends: neither retries nor later calls go elsewhere.
  system.setUpstream(kFar, "failing=1");
  CHECK(regions.callMany("/read/1", 10) == 500);
  CHECK(regions.runsOf(kNear) == near);
  system.setUpstream(kFar, "failing=0");
  system.listUpstream(kFar, "draining");
  REQUIRE(waitUntil(
    [&] { return statusOf(system.call(0, "GET", "/read/1", "drained")) == 503; }));
  CHECK(regions.callMany("/read/1") == 503);
  CHECK(regions.runsOf(kNear) == near);
  const auto start = std::chrono::steady_clock::now();
  const auto refused = system.call(0, "GET", "/read/1", "refused");
  CHECK(std::chrono::steady_clock::now() - start < 1s); // it has 2 s to its deadline
  REQUIRE(refused.has_value());
  CHECK_FALSE(http::findHeader(refused->headers, "Retry-After").empty());
  CHECK(system.metrics(0).find("result=\"not-run:no-upstream\"") != std::string::npos);

  // Other routes, and the same one with other regions, are served.
  CHECK(regions.callMany("/order/1", 5) == 200);
  regions.allowReadsIn(R"(["sertao","litoral"])");
  CHECK(regions.callMany("/read/1") == 200);
  near = regions.runsOf(kNear);
  regions.allowReadsIn("[]");
  CHECK(regions.callMany("/read/1") == 200);
  CHECK(regions.runsOf(kNear) > near);
}

TEST_CASE("malformed allowed regions close their route, and the others are served")
{
  TestRegions regions;
  for (const auto* const it : { R"("litoral")", "7", "[7]", R"({"litoral":true})" }) {
    CAPTURE(it);
    regions.allowReadsIn(it);
    CHECK(regions.callMany("/read/1", 5) == 503);
    CHECK(regions.callMany("/order/1", 5) == 200);
  }
  regions.allowReadsIn(R"([7,"litoral"])");
  CHECK(regions.callMany("/read/1", 5) == 200);
}
