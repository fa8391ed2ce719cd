#include "LimitModel.h"
#include "DemandShareWay.h"
#include "EqualShareWay.h"
#include "FewVmsWay.h"
#include "PermitWay.h"
#include <catch2/catch.hpp>
#include <cstdio>

using namespace masticwall;
using namespace masticwall::model;

namespace {

constexpr std::array kSizes{ 16, 96, 313, 1000 };
constexpr std::array kLimits{ 5.0, 50.0 };
constexpr std::uint64_t kSeeds = 5;

/** The requests that the users allow an upstream within 4 s. */
int
maxInWindow(double aPerSecond)
{
  return static_cast<int>(1.5 * 4.0 * aPerSecond + 5.0);
}

/** The highest window and the lowest use over all seeds. */
template<LimitWay W>
LimitResult
worstOf(LimitPlan aPlan)
{
  LimitResult worst{ 0, 1e9 };
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    aPlan.seed = seed;
    const auto result = LimitModel<W>(aPlan).run();
    worst.worstWindow = std::max(worst.worstWindow, result.worstWindow);
    worst.used = std::min(worst.used, result.used);
  }
  return worst;
}

template<LimitWay W>
void
printRow(const char* aWay, double aPerSecond, const LimitScenario aScenario)
{
  std::printf(
    "%-14s %3.0f/s %-18s", aWay, aPerSecond, std::string(nameOf(aScenario)).c_str());
  for (const int vms : kSizes) {
    const auto result = worstOf<W>({ aScenario, vms, aPerSecond });
    std::printf(" %4d %.2f", result.worstWindow, result.used);
  }
  std::printf("\n");
}

} // namespace

TEST_CASE("permits keep within a limit and use nine tenths of it, at any number of VMs")
{
  for (const auto& scenario : EnumTable<LimitScenario>::kEntries) {
    for (const auto perSecond : kLimits) {
      for (const int vms : kSizes) {
        CAPTURE(scenario.name, perSecond, vms);
        const auto result = worstOf<PermitWay>({ scenario.value, vms, perSecond });
        CHECK(result.worstWindow <= maxInWindow(perSecond));
        CHECK(result.used >= 0.9);
      }
    }
  }
}

// Prints the worst 4 s window and the used part of the limit, for 16 to 1000 VMs.
TEST_CASE("ways to share a request limit", "[.figures]")
{
  for (const auto perSecond : kLimits) {
    std::printf("allowed in 4 s at %.0f/s: %d\n", perSecond, maxInWindow(perSecond));
    for (const auto& it : EnumTable<LimitScenario>::kEntries) {
      printRow<EqualShareWay>("equal shares", perSecond, it.value);
      printRow<FewVmsWay>("few VMs", perSecond, it.value);
      printRow<DemandShareWay>("demand shares", perSecond, it.value);
      printRow<PermitWay>("permits", perSecond, it.value);
    }
  }
}
