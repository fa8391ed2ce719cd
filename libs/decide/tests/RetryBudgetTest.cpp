#include <catch2/catch.hpp>
#include <decide/RetryBudget.h>

using namespace masticwall;

TEST_CASE("the retry budget of a service is a ratio of its calls plus a burst")
{
  const Instant now{ std::chrono::hours(1) };
  RetryBudget budget;
  budget.configure(0.25, 2.0);
  CHECK(budget.tryConsume("a", now));
  CHECK(budget.tryConsume("a", now));
  CHECK_FALSE(budget.tryConsume("a", now));
  CHECK(budget.tryConsume("b", now));
  for (int i = 0; i < 4; ++i) {
    budget.recordCall("a");
  }
  CHECK(budget.tryConsume("a", now + 10s));
  CHECK_FALSE(budget.tryConsume("a", now + 20s));
}
