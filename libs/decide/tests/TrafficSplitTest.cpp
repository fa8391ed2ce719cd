#include <catch2/catch.hpp>
#include <decide/RetryBudget.h>
#include <decide/TrafficSplit.h>
#include <map>

using namespace masticwall;

namespace {

Route
splitRoute(std::vector<SplitPart> aParts)
{
  Route route;
  route.name = std::string("r");
  route.split = std::move(aParts);
  return route;
}

} // namespace

TEST_CASE("a split keeps its shares after a few calls in each of many processes")
{
  std::mt19937_64 random(3);
  const auto route = splitRoute({ { "old", 90 }, { "new", 10 } });
  std::map<std::string, int> counts;
  constexpr int kProcesses = 16;
  constexpr int kCalls = 20;
  for (int process = 0; process < kProcesses; ++process) {
    TrafficSplit split;
    for (int i = 0; i < kCalls; ++i) {
      ++counts[split.next(route, random)];
    }
  }
  CHECK(counts["new"] == Approx(0.1 * kProcesses * kCalls).margin(3));
}

TEST_CASE("new weights count from the next call on")
{
  std::mt19937_64 random(3);
  TrafficSplit split;
  split.next(splitRoute({ { "old", 90 }, { "new", 10 } }), random);
  const auto moved = splitRoute({ { "old", 0 }, { "new", 1 } });
  for (int i = 0; i < 20; ++i) {
    CHECK(split.next(moved, random) == "new");
  }
}

TEST_CASE("retries are bounded by service: a share of its calls and a burst")
{
  const Instant now{ std::chrono::hours(1) };
  RetryBudget budget;
  budget.configure(0.25, 2.0);
  CHECK(budget.take("a", now));
  CHECK(budget.take("a", now));
  CHECK_FALSE(budget.take("a", now));
  CHECK(budget.take("b", now));
  for (int i = 0; i < 4; ++i) {
    budget.noteCall("a");
  }
  CHECK(budget.take("a", now + 10s));
  CHECK_FALSE(budget.take("a", now + 20s));
}
