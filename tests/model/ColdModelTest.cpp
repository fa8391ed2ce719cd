#include "ColdModel.h"
#include <catch2/catch.hpp>
#include <cstdio>

using namespace masticwall;
using namespace masticwall::model;

namespace {

constexpr std::array kSizes{ 16, 100, 313, 1000 };
constexpr std::array kRates{ 3.0, 8.2, 40.0 };
constexpr std::uint64_t kSeeds = 5;
constexpr WarmUpTolerance kTolerance{ .over = 1.5, .slack = 8.0 };

Service
serviceOf(double aWarmUpPerSecond)
{
  Service service;
  service.warmUpPerSecond = aWarmUpPerSecond;
  return service;
}

/** The requests that the users allow a cold upstream in a second. */
int
maxInSecond(double aWarmUpPerSecond)
{
  return static_cast<int>(aWarmUpPerSecond * kTolerance.over + kTolerance.slack);
}

/** The highest numbers and the lowest use over all seeds. */
ColdResult
worstOf(ColdScenario aScenario, int aVms, double aRate)
{
  ColdPlan plan(aScenario, aVms, serviceOf(aRate), kTolerance);
  plan.offered = std::max(plan.offered, 3.0 * aRate);
  ColdResult worst{ .used = 1e9 };
  for (plan.seed = 1; plan.seed <= kSeeds; ++plan.seed) {
    const auto result = ColdModel(plan).run();
    worst.worstSecond = std::max(worst.worstSecond, result.worstSecond);
    worst.firstSecond = std::max(worst.firstSecond, result.firstSecond);
    worst.uninformed = std::max(worst.uninformed, result.uninformed);
    worst.used = std::min(worst.used, result.used);
  }
  return worst;
}

} // namespace

TEST_CASE("a cold upstream gets no more in a second than it bears, at any number of VMs")
{
  for (const auto& scenario : EnumTable<ColdScenario>::kEntries) {
    for (const auto rate : kRates) {
      for (const int vms : kSizes) {
        CAPTURE(scenario.name, rate, vms);
        const auto result = worstOf(scenario.value, vms, rate);
        CHECK(result.worstSecond <= maxInSecond(rate));
        CHECK(result.used >= 0.7);
      }
    }
  }
}

// Prints the requests in the worst second, in the worst one of the first two, those of
// VMs that did not know yet, and the used part of the permits.
TEST_CASE("requests of cold upstreams", "[.figures]")
{
  for (const auto rate : kRates) {
    const auto policy = WarmUpPolicy::of(serviceOf(rate), kTolerance);
    std::printf("%.1f/s: %d allowed in a second, %.2f issued\n",
                rate,
                maxInSecond(rate),
                policy.perSecond);
    for (const auto& it : EnumTable<ColdScenario>::kEntries) {
      std::printf("%-16s", std::string(it.name).c_str());
      for (const int vms : kSizes) {
        const auto result = worstOf(it.value, vms, rate);
        std::printf("  %3d %3d %3d %.2f",
                    result.worstSecond,
                    result.firstSecond,
                    result.uninformed,
                    result.used);
      }
      std::printf("\n");
    }
  }
}
