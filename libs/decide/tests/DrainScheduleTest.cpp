#include <catch2/catch.hpp>
#include <decide/DrainSchedule.h>

using namespace masticwall;

TEST_CASE("a draining process sends no call that may not end in time")
{
  const Instant start{ std::chrono::hours(1) };
  const DrainSchedule schedule{ start + 2600ms, start + 5700ms };
  for (const bool isOrder : { false, true }) {
    CHECK(schedule.maySend(start + 5700ms, isOrder, start + 5s));
    CHECK_FALSE(schedule.maySend(start + 5701ms, isOrder, start + 5s));
    CHECK(schedule.maySend(start + 3s, isOrder, start + 1s));
  }
  // Lookups with long deadlines are still taken while callers don't know of the drain.
  CHECK(schedule.maySend(start + 6s, false, start + 1s));
  CHECK_FALSE(schedule.maySend(start + 6s, true, start + 1s));
}
