#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/AdmissionQueue.h>
#include <decide/InFlightLimit.h>

using namespace masticwall;

namespace {

AdmissionRequest
request(std::uint64_t aId, Instant aNow)
{
  return { aId, aId, 0, Rank::Standard, aNow + 3s, aNow };
}

} // namespace

TEST_CASE("a share of less than one call leaves room for a second one")
{
  const auto limit = InFlightLimit::of(1.25, 17, 50);
  CHECK(limit.share == 1);
  CHECK(limit.margin == 1);
}

TEST_CASE("a large share leaves a margin that is small beside it")
{
  const auto limit = InFlightLimit::of(1.25, 800, 10);
  CHECK(limit.share == 100);
  CHECK(limit.margin == 10);
}

TEST_CASE("without slots or processes the limit is one call")
{
  CHECK(InFlightLimit::of(1.25, 0, 50).share == 1);
  CHECK(InFlightLimit::of(1.25, 0, 50).margin == 0);
  CHECK(InFlightLimit::of(1.25, 2, 0).share == 3);
}

TEST_CASE("calls beyond the share start only while there is a margin")
{
  test::ManualClock time;
  AdmissionQueue queue;
  queue.configure({}, 1, 10);
  queue.setMargin(1);
  CHECK(queue.offer(request(1, time.now()), time.now()).verdict ==
        AdmissionVerdict::Start);
  CHECK(queue.offer(request(2, time.now()), time.now()).verdict ==
        AdmissionVerdict::Start);
  CHECK(queue.offer(request(3, time.now()), time.now()).verdict ==
        AdmissionVerdict::Wait);
  queue.setMargin(0);
  CHECK(queue.release(time.now()).started.empty());
  CHECK(queue.release(time.now()).started.size() == 1);
  CHECK(queue.inFlight() == 1);
}
