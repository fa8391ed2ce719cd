#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/TokenBucket.h>

using namespace masticwall;

TEST_CASE("a token bucket refills at its rate and keeps the caller's reserve")
{
  test::ManualClock time;
  TokenBucket bucket(10.0, 10.0);
  CHECK(bucket.tryConsume(10.0, time.now()));
  CHECK_FALSE(bucket.tryConsume(1.0, time.now()));
  time.advance(500ms);
  CHECK_FALSE(bucket.tryConsume(4.0, time.now(), 2.0));
  CHECK(bucket.tryConsume(4.0, time.now()));
}
