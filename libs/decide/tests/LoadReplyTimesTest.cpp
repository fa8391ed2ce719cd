#include <catch2/catch.hpp>
#include <decide/LoadReplyTimes.h>

using namespace masticwall;

TEST_CASE("replies from a data centre without samples count as timely")
{
  CHECK_FALSE(LoadReplyTimes().areLate("a"));
}

TEST_CASE("replies are late from where they usually take longer than calls wait")
{
  LoadReplyTimes times;
  times.record("near", 6ms);
  times.record("far", 19ms);
  CHECK_FALSE(times.areLate("near"));
  CHECK(times.areLate("far"));
}

TEST_CASE("a single slow reply doesn't make a near data centre a far one")
{
  LoadReplyTimes times;
  times.record("near", 6ms);
  times.record("near", 40ms);
  CHECK_FALSE(times.areLate("near"));
  for (int i = 0; i < 20; ++i) {
    times.record("near", 40ms);
  }
  CHECK(times.areLate("near"));
}
