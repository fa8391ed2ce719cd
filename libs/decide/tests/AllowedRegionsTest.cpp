#include <catch2/catch.hpp>
#include <decide/AllowedRegions.h>
#include <decide/UpstreamPool.h>
#include <random>

using namespace masticwall;

namespace {

const Instant kNow{ 100s };

UpstreamAddress
makeUpstream(const std::string& aName, const std::string& aRegion)
{
  return { aName, "s", aRegion, "10.0.0.1", 80, "1", aRegion + "-1", 4 };
}

} // namespace

TEST_CASE("two restrictions leave what both allow, which may be nowhere")
{
  const AllowedRegions any;
  const auto a = AllowedRegions::only({ "a" });
  const auto ab = AllowedRegions::only({ "a", "b" });
  CHECK(any.intersectedWith(any).isAny());
  CHECK(any.intersectedWith(a) == a);
  CHECK(ab.intersectedWith(any) == ab);
  CHECK(ab.intersectedWith(a) == a);
  const auto nowhere = a.intersectedWith(AllowedRegions::only({ "b" }));
  CHECK_FALSE(nowhere.isAny());
  CHECK_FALSE(nowhere.allows("a"));
  CHECK_FALSE(nowhere.allows("b"));
  CHECK_FALSE(nowhere.intersectedWith(any).isAny());
}

TEST_CASE("only upstreams in allowed regions are chosen, measured or asked for permits")
{
  std::mt19937_64 random(1);
  UpstreamPool pool;
  pool.update({ makeUpstream("near", "a"), makeUpstream("far", "b") }, 4, kNow);
  const Locality locality{ "a", "a-1" };
  const CandidateFilter filter{ 30, {}, AllowedRegions::only({ "b" }) };
  const CandidateFilter nowhere{ 30, {}, AllowedRegions::only({}) };
  for (int i = 0; i < 5; ++i) {
    const auto* const chosen =
      pool.chooseLowestLatency(locality, {}, filter, kNow, random);
    REQUIRE(chosen != nullptr);
    CHECK(chosen->address.name == "far");
  }
  for (const auto& it : EnumTable<LoadBalancingPolicy>::kEntries) {
    CAPTURE(it.name);
    CHECK(pool.choose(it.value, "a", filter, kNow, random) == nullptr);
    CHECK(pool.choose(it.value, "", nowhere, kNow, random) == nullptr);
    CHECK(pool.choose(it.value, "", filter, kNow, random)->address.name == "far");
  }
  CHECK(pool.chooseLowestLatency(locality, {}, nowhere, kNow, random) == nullptr);
  CHECK_FALSE(pool.hasCandidate(nowhere, kNow));
  const auto stale =
    pool.staleTopCandidates(locality, filter, { 9, 99 }, 60ms, kNow, random);
  REQUIRE(stale.size() == 1);
  CHECK(stale[0].name == "far");
  for (const auto* const it : { "near", "far" }) {
    const auto upstream = makeUpstream(it, it == std::string("near") ? "a" : "b");
    pool.recordLimit(upstream, 1.0, kNow, kNow);
  }
  const auto permit =
    pool.permitCandidate(locality, {}, Rank::Standard, filter, kNow, random);
  REQUIRE(permit.has_value());
  CHECK(permit->address.name == "far");
  CHECK_FALSE(pool.permitCandidate(locality, {}, Rank::Standard, nowhere, kNow, random)
                .has_value());
}

TEST_CASE("a service is available to a call only by upstreams in its regions")
{
  std::mt19937_64 random(1);
  UpstreamPool pool;
  pool.update({ makeUpstream("near", "a"), makeUpstream("far", "b") }, 4, kNow);
  const auto availability = [&](const AllowedRegions& aRegions) {
    return pool.availability(Rank::Standard, kNow, aRegions);
  };
  const auto a = AllowedRegions::only({ "a" });
  const auto b = AllowedRegions::only({ "b" });
  CHECK(availability(b).isAvailable);
  pool.markLeaving(makeUpstream("far", "b"), kNow);
  CHECK_FALSE(availability(b).isAvailable);
  CHECK_FALSE(availability(b).nextAt.has_value());
  CHECK(availability(a).isAvailable);
  CHECK(availability({}).isAvailable);
  const auto until = pool.holdOff(makeUpstream("near", "a"), 2s, kNow, random);
  CHECK(availability(a).nextAt == until);
  CHECK_FALSE(availability(b).nextAt.has_value());
  CHECK_FALSE(availability(AllowedRegions::only({})).isAvailable);
}
