#include <catch2/catch.hpp>
#include <decide/TrafficSplit.h>
#include <map>

using namespace masticwall;

namespace {

Route
splitRoute(std::vector<WeightedService> aServices)
{
  Route route;
  route.name = std::string("r");
  route.split = std::move(aServices);
  return route;
}

} // namespace

TEST_CASE("the shares of a split hold over many processes with a few calls each")
{
  std::mt19937_64 random(3);
  const auto route = splitRoute({ { "old", 90 }, { "new", 10 } });
  std::map<std::string, int> counts;
  constexpr int kProcesses = 16;
  constexpr int kCallsPerProcess = 20;
  for (int process = 0; process < kProcesses; ++process) {
    TrafficSplit split;
    for (int i = 0; i < kCallsPerProcess; ++i) {
      ++counts[split.next(route, random)];
    }
  }
  CHECK(counts["new"] == Approx(0.1 * kProcesses * kCallsPerProcess).margin(3));
}

TEST_CASE("changed weights take effect with the next call")
{
  std::mt19937_64 random(3);
  TrafficSplit split;
  split.next(splitRoute({ { "old", 90 }, { "new", 10 } }), random);
  const auto changed = splitRoute({ { "old", 0 }, { "new", 1 } });
  for (int i = 0; i < 20; ++i) {
    CHECK(split.next(changed, random) == "new");
  }
}
