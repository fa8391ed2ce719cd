#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/SuspectList.h>

using namespace masticwall;

TEST_CASE("a request is blocked after two crashes, from any reporters, until they expire")
{
  SuspectList list;
  test::ManualClock time;
  const Digest request{};
  CHECK(list.recordCrash(request, "a", time.now()) == 1);
  CHECK_FALSE(list.isBlocked(request, time.now()));
  CHECK(list.merge(request, "b", 1, time.now()));
  CHECK_FALSE(list.merge(request, "b", 1, time.now()));
  CHECK(list.isBlocked(request, time.now()));
  time.advance(std::chrono::hours(1));
  CHECK_FALSE(list.isBlocked(request, time.now()));
}
