#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/UpstreamPool.h>

using namespace masticwall;
using namespace masticwall::test;

namespace {

constexpr int kMaxInFlight = 100;

/** One VM's view of a service with upstreams "a" and "b", of four slots each. */
struct LimitedService
{
  LimitedService()
  {
    pool.update(upstreams(), 4, clock.now());
    clock.advance(10s); // no slow start
  }

  static UpstreamAddress upstream(const std::string& aName)
  {
    return { aName, "lookup", "r", "10.0.0.1", 9000, "1", "d" };
  }
  static std::vector<UpstreamAddress> upstreams()
  {
    return { upstream("a"), upstream("b") };
  }

  void limit(const std::string& aName)
  {
    pool.recordLimit(upstream(aName), 5.0, clock.now(), clock.now());
  }
  void report(const std::string& aName, int aInUse)
  {
    pool.reportLoad(aName, { aInUse, 0, clock.now(), 4 });
  }

  /** The upstream that a call is sent to; empty if there is none. */
  std::string send(const LatencyLimit& aLimit = {})
  {
    const auto* const state =
      pool.chooseLowestLatency(locality, aLimit, { kMaxInFlight }, clock.now(), random);
    return state == nullptr ? std::string() : state->address.name;
  }

  std::optional<PermitCandidate> candidate(Rank aRank = Rank::Standard)
  {
    return pool.permitCandidate(
      locality, {}, aRank, { kMaxInFlight }, clock.now(), random);
  }

  ManualClock clock;
  UpstreamPool pool;
  Locality locality{ "r", "d" };
  std::mt19937_64 random{ 1 };
};

} // namespace

TEST_CASE("a limited upstream gets a call for each permit and no load query")
{
  LimitedService service;
  service.limit("a");
  service.limit("b");
  CHECK(service.send().empty());
  service.pool.addPermits(
    LimitedService::upstream("a"), { 2, {} }, Rank::Standard, service.clock.now());
  const auto stale = service.pool.staleTopCandidates(
    service.locality, { kMaxInFlight }, {}, 0ms, service.clock.now(), service.random);
  CHECK(stale.empty());
  CHECK(service.send() == "a");
  CHECK(service.send() == "a");
  CHECK(service.send().empty());
}

TEST_CASE("no permit is requested while another upstream is better")
{
  LimitedService service;
  CHECK_FALSE(service.candidate().has_value());
  service.limit("a");
  service.report("a", 3);
  service.report("b", 0);
  CHECK_FALSE(service.candidate().has_value());
  service.report("b", 3);
  service.report("a", 0);
  const auto candidate = service.candidate();
  REQUIRE(candidate.has_value());
  CHECK(candidate->address.name == "a");
  CHECK(candidate->limit.perSecond == 5.0);
  CHECK(candidate->hasAlternative);
  service.report("b", 4); // without a free slot
  CHECK_FALSE(service.candidate()->hasAlternative);
}

TEST_CASE("a service is unavailable while none of its upstreams gives permits")
{
  LimitedService service;
  service.limit("a");
  service.limit("b");
  const auto now = service.clock.now();
  CHECK(service.pool.availability(Rank::Bulk, now).isAvailable);
  service.pool.addPermits(
    LimitedService::upstream("a"), { 0, 100ms }, Rank::Standard, now);
  service.pool.addPermits(
    LimitedService::upstream("b"), { 0, 200ms }, Rank::Standard, now);
  CHECK(service.pool.availability(Rank::Urgent, now).isAvailable);
  const auto availability = service.pool.availability(Rank::Standard, now);
  CHECK_FALSE(availability.isAvailable);
  CHECK(availability.isLimited);
  CHECK(availability.nextAt == now + 100ms);
  CHECK_FALSE(service.candidate(Rank::Standard).has_value());
  CHECK(service.candidate(Rank::Urgent).has_value());
}

TEST_CASE("a limit outlasts a time in which the instance is not listed")
{
  LimitedService service;
  service.limit("a");
  service.pool.update({ LimitedService::upstream("b") }, 4, service.clock.now());
  service.pool.update(LimitedService::upstreams(), 4, service.clock.now());
  CHECK_FALSE(service.pool.acceptsRequest(
    LimitedService::upstream("a"), false, service.clock.now()));
  CHECK(service.pool.acceptsRequest(
    LimitedService::upstream("a"), true, service.clock.now()));
}

TEST_CASE("with request limits, calls don't queue beyond their targets")
{
  LimitedService service;
  LatencyLimit limit;
  limit.maxTotal = 1s;
  limit.maxTotalIfLimited = 300ms;
  service.report("a", 12);
  service.report("b", 12);
  CHECK_FALSE(service.send(limit).empty());
  service.limit("a");
  CHECK(service.send(limit).empty());
  service.report("b", 0);
  CHECK(service.send(limit) == "b");
}
