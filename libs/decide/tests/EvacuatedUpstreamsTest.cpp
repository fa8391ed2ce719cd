#include <catch2/catch.hpp>
#include <decide/SlowStart.h>
#include <decide/UpstreamPool.h>
#include <random>

using namespace masticwall;

namespace {

const Instant kStart{ 100s };
const Locality kLocality{ "litoral", "recife" };

UpstreamAddress
makeUpstream(const std::string& aName,
             const std::string& aDataCentre,
             const std::string& aRegion)
{
  return { aName, "s", aRegion, "10.0.0.1", 80, "1", aDataCentre, 6 };
}

/** A service with an upstream in each of two data centres of a region, and one in another
 * region. */
struct TestService
{
  TestService() { pool.update(listed, 4, kStart); }

  std::string choose(Instant aNow)
  {
    const auto* const chosen =
      pool.chooseLowestLatency(kLocality, {}, { 30 }, aNow, random);
    return chosen == nullptr ? "" : chosen->address.name;
  }

  std::vector<UpstreamAddress> listed{ makeUpstream("r", "recife", "litoral"),
                                       makeUpstream("n", "natal", "litoral"),
                                       makeUpstream("p", "petrolina", "sertao") };
  std::mt19937_64 random{ 1 };
  UpstreamPool pool;
};

} // namespace

TEST_CASE("an evacuated data centre gets no calls, load queries or requests for permits")
{
  TestService service;
  auto& pool = service.pool;
  CHECK(service.choose(kStart) == "r");
  pool.recordLimit(service.listed[0], 5.0, kStart, kStart);
  pool.setEvacuated({ "recife" }, kStart);
  for (int i = 0; i < 10; ++i) {
    CHECK(service.choose(kStart) == "n");
  }
  for (const auto& it : EnumTable<LoadBalancingPolicy>::kEntries) {
    CAPTURE(it.name);
    const auto* const chosen =
      pool.choose(it.value, "litoral", { 30 }, kStart, service.random);
    CHECK(chosen->address.name == "n");
  }
  const auto stale =
    pool.staleTopCandidates(kLocality, { 30 }, { 9, 99 }, 60ms, kStart, service.random);
  CHECK(stale.size() == 2);
  CHECK_FALSE(
    pool.permitCandidate(kLocality, {}, Rank::Urgent, { 30 }, kStart, service.random)
      .has_value());
  // Neither a connection that is being opened nor a permit that is on its way counts.
  CHECK_FALSE(pool.acceptsRequest(service.listed[0], true, kStart));
  // Running calls end as usual.
  pool.recordAttemptEnd("r", AttemptOutcome::Answered, 10ms, kStart);
  CHECK(pool.snapshot()[0].inFlight == 0);
}

TEST_CASE("slots and availability follow an evacuation, up to the last data centre")
{
  TestService service;
  auto& pool = service.pool;
  const auto availability = [&](const AllowedRegions& aRegions = {}) {
    return pool.availability(Rank::Standard, kStart, aRegions);
  };
  CHECK(pool.slotsIn("litoral") == 12);
  CHECK(pool.slotsIn({}) == 18);
  pool.setEvacuated({ "recife", "unknown" }, kStart);
  CHECK(pool.slotsIn("litoral") == 6);
  CHECK(availability().isAvailable);
  pool.setEvacuated({ "natal", "recife" }, kStart);
  CHECK(pool.slotsIn("litoral") == 0);
  CHECK(pool.slotsIn({}) == 6);
  CHECK(availability().isAvailable);
  CHECK_FALSE(availability(AllowedRegions::only({ "litoral" })).isAvailable);
  CHECK(availability(AllowedRegions::only({ "litoral" })).isEvacuated);
  pool.setEvacuated({ "natal", "petrolina", "recife" }, kStart);
  CHECK(service.choose(kStart).empty());
  CHECK_FALSE(availability().isAvailable);
  CHECK(availability().isEvacuated);
  CHECK_FALSE(availability().nextAt.has_value());
  pool.setEvacuated({}, kStart);
  CHECK(availability().isAvailable);
}

TEST_CASE("an upstream that is listed during the evacuation gets nothing either")
{
  TestService service;
  service.pool.setEvacuated({ "recife", "petrolina" }, kStart);
  service.listed.push_back(makeUpstream("r2", "recife", "litoral"));
  service.listed[0].instance = "2";           // restarted
  service.listed[1].dataCentre = "petrolina"; // moved
  service.pool.update(service.listed, 4, kStart + 1s);
  CHECK(service.choose(kStart + 1s).empty());
}

TEST_CASE("the upstreams of a data centre that is taken back go through slow start")
{
  TestService service;
  auto& pool = service.pool;
  pool.setEvacuated({ "recife", "natal", "petrolina" }, kStart);
  const auto end = kStart + 60s;
  pool.update(service.listed, 4, end - 1s);
  pool.setEvacuated({ "natal", "petrolina" }, end);
  CHECK(service.choose(end) == "r");
  CHECK(service.choose(end).empty());                      // one call at a time at first
  pool.setEvacuated({ "natal", "petrolina" }, end + 10ms); // repeated: no new start
  pool.update(service.listed, 4, end + 20ms);
  CHECK(pool.snapshot()[0].slowStartAt == end);
  CHECK(service.choose(end + SlowStart::kPeriod) == "r");
}
