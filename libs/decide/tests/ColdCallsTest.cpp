#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/UpstreamPool.h>

using namespace masticwall;
using namespace masticwall::test;

namespace {

constexpr int kMaxInFlight = 100;

/** One VM's view of a service with upstreams "a" and "b", of four slots each. */
struct ColdService
{
  explicit ColdService(double aPerSecond = 5.0)
  {
    pool.configureWarmUp({ aPerSecond, 3s });
    list(false);
    clock.advance(10s); // no slow start
  }

  static UpstreamAddress upstream(const std::string& aName)
  {
    return { aName, "lookup", "r", "10.0.0.1", 9000, "1", "d" };
  }

  void list(bool aIsWarmingUp)
  {
    auto a = upstream("a");
    a.isWarmingUp = aIsWarmingUp;
    pool.update({ a, upstream("b") }, 4, clock.now());
  }
  void report(const std::string& aName, int aInUse, int aQueued = 0)
  {
    pool.reportLoad(aName, { aInUse, aQueued, clock.now(), 4 });
  }
  LimitChange becomeCold(const std::string& aName)
  {
    return pool.recordWarmUp(upstream(aName), 3s, clock.now());
  }
  void grant(const std::string& aName, int aPermits, Duration aNextIn = {})
  {
    pool.addPermits(upstream(aName), { aPermits, aNextIn }, Rank::Standard, clock.now());
  }

  /** The upstream that a call is sent to; empty if there is none. */
  std::string send(const LatencyLimit& aLimit = {})
  {
    const auto* const state =
      pool.chooseLowestLatency(locality, aLimit, { kMaxInFlight }, clock.now(), random);
    return state == nullptr ? std::string() : state->address.name;
  }
  std::optional<PermitCandidate> candidate()
  {
    return pool.permitCandidate(
      locality, {}, Rank::Standard, { kMaxInFlight }, clock.now(), random);
  }
  std::size_t loadQueries()
  {
    return pool
      .staleTopCandidates(locality, { kMaxInFlight }, { 2, 0 }, 0ms, clock.now(), random)
      .size();
  }

  ManualClock clock;
  UpstreamPool pool;
  Locality locality{ "r", "d" };
  std::mt19937_64 random{ 1 };
};

} // namespace

TEST_CASE("a cold upstream gets a call for each permit, and load queries")
{
  ColdService service;
  CHECK(service.becomeCold("a") == LimitChange::Begun);
  CHECK(service.becomeCold("b") == LimitChange::Begun);
  CHECK(service.send().empty());
  CHECK(service.loadQueries() == 1);
  service.grant("a", 2);
  CHECK(service.send() == "a");
  CHECK(service.send() == "a");
  CHECK(service.send().empty());
  service.clock.advance(3s);
  CHECK_FALSE(service.send().empty());
}

TEST_CASE("a cold upstream takes no other's place in load queries")
{
  ColdService service;
  CHECK(service.loadQueries() == 2);
  service.becomeCold("a");
  CHECK(service.loadQueries() == 2);
}

TEST_CASE("an upstream that may become cold is asked again, whatever its answers tell")
{
  for (const auto perSecond : { 0.0, 5.0 }) {
    ColdService service(perSecond);
    const auto askedAfter = [&](Duration aTime) {
      service.clock.advance(aTime);
      service.report("a", 0);
      service.report("b", 0);
      return service.pool
        .staleTopCandidates(service.locality,
                            { kMaxInFlight },
                            { 2, 0 },
                            60ms,
                            service.clock.now(),
                            service.random)
        .size();
    };
    CHECK(askedAfter(10ms) == (perSecond > 0.0 ? 2 : 0));
    for (const auto* const it : { "a", "b" }) {
      service.pool.recordWarmUp(ColdService::upstream(it), 0ms, service.clock.now());
    }
    CHECK(askedAfter(250ms) == 0);
    CHECK(askedAfter(1ms) == (perSecond > 0.0 ? 2 : 0));
  }
}

TEST_CASE("a call on its way to an upstream that becomes cold is sent elsewhere")
{
  ColdService service;
  const auto a = ColdService::upstream("a");
  CHECK(service.pool.acceptsRequest(a, false, service.clock.now()));
  service.becomeCold("a");
  CHECK_FALSE(service.pool.acceptsRequest(a, false, service.clock.now()));
  CHECK(service.pool.acceptsRequest(a, true, service.clock.now()));
  CHECK(service.pool.acceptsLoadQuery(a, service.clock.now()));
  CHECK(service.send() == "b");
}

TEST_CASE("permits are requested for a cold upstream, a moment after it has become cold")
{
  ColdService service;
  service.report("b", 4, 4);
  service.becomeCold("a");
  CHECK_FALSE(service.candidate().has_value());
  service.clock.advance(500ms);
  service.report("b", 4, 4);
  const auto candidate = service.candidate();
  REQUIRE(candidate.has_value());
  CHECK(candidate->address.name == "a");
  CHECK(candidate->limit.perSecond == 5.0);
  CHECK(candidate->limit.statedAt == service.clock.now());
  CHECK(candidate->isCold);
  CHECK_FALSE(candidate->hasAlternative);
}

TEST_CASE("permits are requested at once for an upstream that is cold when first listed")
{
  ColdService service;
  UpstreamPool pool;
  pool.configureWarmUp({ 5.0, 3s });
  auto a = ColdService::upstream("a");
  a.isWarmingUp = true;
  pool.update({ a }, 4, service.clock.now());
  CHECK(pool.takeNewlyCold().size() == 1);
  CHECK(pool.takeNewlyCold().empty());
  CHECK(pool
          .permitCandidate(service.locality,
                           {},
                           Rank::Standard,
                           { kMaxInFlight },
                           service.clock.now(),
                           service.random)
          .has_value());
}

TEST_CASE("of a stated limit and the one of a warm-up the lower one applies")
{
  ColdService service;
  service.report("b", 4, 4);
  service.becomeCold("a");
  service.clock.advance(500ms);
  service.report("b", 4, 4);
  const auto limitWith = [&](double aStated) {
    service.pool.recordLimit(
      ColdService::upstream("a"), aStated, service.clock.now(), service.clock.now());
    return service.candidate()->limit.perSecond;
  };
  CHECK(limitWith(20.0) == 5.0);
  CHECK(limitWith(2.0) == 2.0);
}

TEST_CASE("a cold upstream does not change which calls to others are refused")
{
  ColdService service;
  LatencyLimit limit;
  limit.maxTotal = 1s;
  limit.maxTotalIfLimited = 300ms;
  service.report("a", 4, 8);
  service.report("b", 4, 8);
  REQUIRE_FALSE(service.send(limit).empty());
  service.becomeCold("a");
  CHECK(service.send(limit) == "b");
}

TEST_CASE("while all upstreams are cold, calls are refused until there is credit")
{
  ColdService service;
  service.becomeCold("a");
  service.becomeCold("b");
  service.clock.advance(500ms);
  service.grant("a", 0, 100ms);
  service.grant("b", 0, 200ms);
  const auto now = service.clock.now();
  const auto availability = service.pool.availability(Rank::Standard, now);
  CHECK_FALSE(availability.isAvailable);
  CHECK(availability.isLimited);
  CHECK(availability.nextAt == now + 100ms);
}

TEST_CASE("without a rate of its service a cold upstream gets calls as others do")
{
  ColdService service(0.0);
  service.list(true);
  CHECK(service.becomeCold("a") == LimitChange::None);
  CHECK(service.becomeCold("b") == LimitChange::None);
  CHECK_FALSE(service.send().empty());
  CHECK_FALSE(service.candidate().has_value());
  CHECK(service.pool.takeNewlyCold().empty());
}
