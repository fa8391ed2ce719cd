#include <catch2/catch.hpp>
#include <decide/RetryAfterRange.h>

using namespace masticwall;

TEST_CASE("callers with time come back over the time that leaves their target in reach")
{
  const auto range = RetryAfterRange::of(8s, 6s, 1200ms);
  CHECK(range.max > 2s);
  CHECK(range.max <= Duration(8s) / 3);
  CHECK(RetryAfterRange::of(30s, 3s, 500ms).max == 2s);
}

TEST_CASE("callers with little time come back soon")
{
  for (const auto timeToTarget : { 300ms, 0ms, -500ms }) {
    const auto range = RetryAfterRange::of(1500ms, timeToTarget, 180ms);
    CHECK(range.max == 250ms);
  }
}

TEST_CASE("each caller gets a time of its own in the range")
{
  std::mt19937_64 random{ 3 };
  const auto range = RetryAfterRange::of(8s, 6s, 1200ms);
  int early = 0;
  constexpr int kCallers = 1000;
  for (int i = 0; i < kCallers; ++i) {
    const auto after = range.draw(random);
    REQUIRE(after >= range.min);
    REQUIRE(after <= range.max);
    early += after < (range.min + range.max) / 2 ? 1 : 0;
  }
  CHECK(early > 0.45 * kCallers);
  CHECK(early < 0.55 * kCallers);
}
