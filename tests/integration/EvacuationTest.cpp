#include "GatewaySystem.h"
#include "Wait.h"
#include <catch2/catch.hpp>
#include <memory>

using namespace masticwall;
using namespace masticwall::test;

// Guards against work that reaches an evacuated data centre: during the evacuation, while
// the store is away, and after VMs or the store have come back with less than they knew.

namespace {

/** The bound of the platform's pages, from the operator's write on. */
constexpr int kEvacuateMs = 5000;

constexpr int kRecife = 0; ///< upstreams, by their data centre
constexpr int kNatal = 1;
constexpr int kPetrolina = 2;

/** Gateways, and an upstream in each of three data centres. */
class TestPlaces
{
public:
  explicit TestPlaces(int aGateways)
    : mSystem(aGateways, 3)
    , mGateways(aGateways)
  {
    mSystem.placeUpstream(kNatal, "natal");
    mSystem.placeUpstream(kPetrolina, "petrolina");
    REQUIRE(mSystem.start());
  }

  GatewaySystem& system() { return mSystem; }

  /** Waits until all gateways know of so many evacuated data centres. */
  void waitForEvacuated(int aCount, int aMostMs = kEvacuateMs)
  {
    const auto text = "masticwall_evacuated_data_centres " + std::to_string(aCount);
    for (int i = 0; i < mGateways; ++i) {
      CAPTURE(i, aCount);
      REQUIRE(waitUntil(
        [&] { return mSystem.metrics(i).find(text) != std::string::npos; }, aMostMs));
    }
  }

  /** Waits until the gateways have read the store a few times. */
  void waitForReads()
  {
    const auto calls = mSystem.setStore();
    REQUIRE(waitUntil([&] { return mSystem.setStore() >= calls + 12; }));
  }

  /** Calls every gateway for a while. Returns the statuses, and that no request, also no
   * load query, has reached the upstreams `aUnused`. */
  std::map<int, int> callAll(const std::vector<int>& aUnused, int aRounds = 40)
  {
    const auto before = requestsOf(aUnused);
    std::map<int, int> statuses;
    for (int round = 0; round < aRounds; ++round) {
      for (int i = 0; i < mGateways; ++i) {
        const auto method = round % 2 == 0 ? "GET" : "POST";
        const auto path = round % 2 == 0 ? "/read/1" : "/order/1";
        const auto id = "e-" + std::to_string(++mCalls);
        ++statuses[statusOf(mSystem.call(i, method, path, id))];
      }
      runEventsFor(20);
    }
    CHECK(requestsOf(aUnused) == before);
    return statuses;
  }

private:
  std::vector<int> requestsOf(const std::vector<int>& aUpstreams) const
  {
    std::vector<int> requests;
    requests.reserve(aUpstreams.size());
    for (const auto it : aUpstreams) {
      requests.push_back(mSystem.ledgerOf(it).requests());
    }
    return requests;
  }

  GatewaySystem mSystem;
  int mGateways;
  int mCalls = 0;
};

using Statuses = std::map<int, int>;

} // namespace

TEST_CASE("an evacuated data centre gets nothing, also without the store and after a "
          "restart, until it is taken back")
{
  TestPlaces places(3);
  auto& system = places.system();
  CHECK(places.callAll({}) == Statuses{ { 200, 120 } });
  CHECK(system.ledgerOf(kRecife).runs > 0);

  // Calls that run there end normally.
  const auto runs = system.ledgerOf(kRecife).runs;
  std::vector<std::unique_ptr<TestCaller>> running;
  for (int i = 0; i < 3; ++i) {
    running.push_back(
      std::make_unique<TestCaller>(system.gatewayHost(0), GatewaySystem::kFrontPort));
    const auto id = "running-" + std::to_string(i);
    running.back()->send(
      GatewaySystem::makeCall("GET", "/read/1", id, { { "Test-Service-Ms", "800" } }));
  }
  REQUIRE(waitUntil([&] { return system.ledgerOf(kRecife).runs > runs; }));
  system.evacuate("recife");
  for (const auto& it : running) {
    CHECK(statusOf(it->receive()) == 200);
  }
  places.waitForEvacuated(1);
  CHECK(places.callAll({ kRecife }) == Statuses{ { 200, 120 } });
  CHECK(system.ledgerOf(kNatal).runs > 0);

  system.setStore("refuse=1");
  for (int i = 1; i < 3; ++i) { // the first is the only seed
    system.gateway(i).kill();
    system.startGateway(i);
    REQUIRE(waitUntil([&] { return system.isReady(i); }));
    CHECK(places.callAll({ kRecife }, 10) == Statuses{ { 200, 30 } });
  }
  places.waitForEvacuated(1);
  system.setStore("refuse=0");
  places.waitForReads();
  CHECK(places.callAll({ kRecife }) == Statuses{ { 200, 120 } });

  const auto before = system.ledgerOf(kRecife).runs;
  system.evacuate("recife", false);
  places.waitForEvacuated(0);
  CHECK(places.callAll({}) == Statuses{ { 200, 120 } });
  CHECK(system.ledgerOf(kRecife).runs > before);
}

TEST_CASE("evacuations overlap, repeat and name unknown data centres; with the last one, "
          "calls are refused at once")
{
  TestPlaces places(2);
  auto& system = places.system();
  system.evacuate("recife");
  system.evacuate("nowhere");
  places.waitForEvacuated(2);
  system.evacuate("recife");
  system.evacuate("natal");
  places.waitForEvacuated(3);
  CHECK(places.callAll({ kRecife, kNatal }) == Statuses{ { 200, 80 } });

  system.evacuate("petrolina");
  places.waitForEvacuated(4);
  const auto start = std::chrono::steady_clock::now();
  const auto refused = system.call(0, "GET", "/read/1", "refused");
  CHECK(std::chrono::steady_clock::now() - start < 1s); // it has 2 s to its deadline
  REQUIRE(refused.has_value());
  CHECK(refused->status == 503);
  CHECK_FALSE(http::findHeader(refused->headers, "Retry-After").empty());
  CHECK(system.metrics(0).find("result=\"not-run:evacuated\"") != std::string::npos);
  CHECK(places.callAll({ kRecife, kNatal, kPetrolina }) == Statuses{ { 503, 80 } });

  system.evacuate("natal", false);
  places.waitForEvacuated(3);
  CHECK(places.callAll({ kRecife, kPetrolina }) == Statuses{ { 200, 80 } });
}

TEST_CASE(
  "an evacuation that an older copy of the store lacks is kept until it is written "
  "anew and taken back")
{
  TestPlaces places(2);
  auto& system = places.system();
  places.waitForReads();
  system.setStore("save=1");
  system.evacuate("recife");
  places.waitForEvacuated(1);
  system.setStore("restore=1");
  places.waitForReads();
  CHECK(places.callAll({ kRecife }) == Statuses{ { 200, 80 } });
  // A VM that starts now finds none in the store, but its peer knows.
  system.gateway(0).kill();
  system.startGateway(0);
  REQUIRE(waitUntil([&] { return system.isReady(0); }));
  places.waitForEvacuated(1);
  places.waitForReads();
  CHECK(places.callAll({ kRecife }) == Statuses{ { 200, 80 } });

  system.evacuate("recife");
  places.waitForReads();
  places.waitForEvacuated(1);
  system.evacuate("recife", false);
  places.waitForEvacuated(0);
}
