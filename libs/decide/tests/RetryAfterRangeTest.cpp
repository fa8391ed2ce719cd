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

TEST_CASE("after a hold-off callers return once it is over, urgent ones first")
{
  const auto urgent = RetryAfterRange::afterHoldOff(30s, 2s, Rank::Urgent);
  const auto standard = RetryAfterRange::afterHoldOff(30s, 2s, Rank::Standard);
  const auto bulk = RetryAfterRange::afterHoldOff(30s, 2s, Rank::Bulk);
  CHECK(urgent.min == 2s);
  CHECK(urgent.max > urgent.min);
  CHECK(standard.min >= urgent.max);
  CHECK(bulk.min >= standard.max);
}

TEST_CASE("a caller that can't wait for the end of a hold-off returns as late as it can")
{
  for (const auto holdOff : { 1s, 60s, 100000s }) {
    const auto range = RetryAfterRange::afterHoldOff(1500ms, holdOff, Rank::Urgent);
    CHECK(range.max == 500ms);
    CHECK(range.min < range.max);
    CHECK(range.min >= 375ms);
  }
  CHECK(RetryAfterRange::afterHoldOff(0ms, 1s, Rank::Bulk).max == 0ms);
  CHECK(RetryAfterRange::afterHoldOff(-5ms, 1s, Rank::Bulk).max == 0ms);
}
