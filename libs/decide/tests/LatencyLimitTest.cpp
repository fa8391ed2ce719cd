#include <catch2/catch.hpp>
#include <decide/LatencyLimit.h>

using namespace masticwall;

namespace {

const Instant kArrival{ std::chrono::hours(1) };

/** The limit of a call to a service with urgent and bulk calls. */
LatencyLimit
limitFor(Rank aRank, Duration aDeadline, Duration aWaited)
{
  Preset preset;
  Route urgent;
  urgent.service = "s";
  urgent.rank = Rank::Urgent;
  urgent.target = 400ms;
  auto bulk = urgent;
  bulk.rank = Rank::Bulk;
  bulk.target = 2s;
  preset.routes = { urgent, bulk };
  preset.indexRoutes();
  const auto& route = preset.routes[aRank == Rank::Urgent ? 0 : 1];
  return LatencyLimit::of(
    preset, route, route.rank, "s", kArrival, kArrival + aDeadline, kArrival + aWaited);
}

} // namespace

TEST_CASE("a call is not sent where it would end long after its latency target")
{
  CHECK(limitFor(Rank::Urgent, 3s, 0ms).maxTotal == 1s);
  CHECK(limitFor(Rank::Urgent, 3s, 200ms).maxTotal == 800ms);
  CHECK(limitFor(Rank::Bulk, 8s, 0ms).maxTotal == 5s);
}

TEST_CASE("with request limits, a call is not sent where it would end after its target")
{
  CHECK(limitFor(Rank::Urgent, 3s, 0ms).maxTotalIfLimited == 500ms);
  CHECK(limitFor(Rank::Urgent, 3s, 200ms).maxTotalIfLimited == 300ms);
  CHECK(limitFor(Rank::Urgent, 100ms, 0ms).maxTotalIfLimited == 100ms);
}

TEST_CASE("a call is not sent where it would end after its deadline")
{
  CHECK(limitFor(Rank::Urgent, 500ms, 0ms).maxTotal == 500ms);
  CHECK(limitFor(Rank::Urgent, 500ms, 200ms).maxTotal == 300ms);
}

TEST_CASE("a call does not queue for longer than more urgent ones can wait")
{
  CHECK(limitFor(Rank::Bulk, 8s, 0ms).maxQueueing == 240ms);
  CHECK(limitFor(Rank::Urgent, 8s, 0ms).maxQueueing == Duration::max());
}
