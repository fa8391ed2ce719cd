#pragma once

#include "RankReport.h"
#include "Scenario.h"
#include "TestSystem.h"
#include <array>
#include <decide/LoadBalancingPolicy.h>

namespace masticwall::bench {

/** The policy that a run measures. */
struct PolicySettings
{
  LoadBalancingPolicy choice = LoadBalancingPolicy::AgedLoad;
  double overcommit = 2.0;
};

/** What one run gave. */
struct ScenarioReport
{
  std::array<RankReport, kRankCount> ranks;
  double boundP99 = 0.0;  ///< ms; total latency of a shared queue with perfect knowledge
  double slotShare = 0.0; ///< service time of answered calls over the slots' time
  double worthPerSecond = 0.0; ///< of calls answered in their target
  double quietAnswered = 0.0;  ///< noisy-caller: share answered of the other callers
};

/** The test system that scenarios run on: 4 entries, 12 upstreams of 4 slots, 8 of 6. */
test::SystemPlan
makePolicyPlan();

/** The preset of a policy, under the name "test". */
std::string
makePolicyPreset(const PolicySettings& aPolicy);

/** Runs a scenario on a system whose preset is in force, and undoes its faults. */
ScenarioReport
runScenario(test::TestSystem& aSystem,
            Scenario aScenario,
            std::uint64_t aSeed,
            std::chrono::seconds aTime);

} // namespace masticwall::bench
