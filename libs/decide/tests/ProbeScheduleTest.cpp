#include "VirtualTime.h"
#include <catch2/catch.hpp>
#include <decide/ProbeSchedule.h>

using namespace masticwall;

TEST_CASE("the probes of all VMs together stay within the upstream's probe budget")
{
  constexpr int kVms = 16;
  const ProbeBudget budget{ 2.0, kVms };
  test::VirtualTime time;
  std::vector<ProbeSchedule> plans;
  plans.reserve(kVms);
  for (int i = 0; i < kVms; ++i) {
    plans.emplace_back(static_cast<double>(i) / kVms);
    plans.back().setUpstreams({ "u" }, budget, time.now());
  }
  int probes = 0;
  for (int tick = 0; tick < 2000; ++tick) {
    for (auto& plan : plans) {
      probes += static_cast<int>(plan.takeDue(budget, time.now()).size());
    }
    time.advance(50ms);
  }
  // 100 s at 2 probes per second.
  CHECK(probes <= 200 + kVms);
  CHECK(probes >= 150);
}

TEST_CASE("a pause is not followed by a burst of probes")
{
  ProbeSchedule plan(0.0);
  const ProbeBudget budget{ 1.0, 1 };
  test::VirtualTime time;
  plan.setUpstreams({ "u" }, budget, time.now());
  plan.takeDue(budget, time.now());
  time.advance(60s);
  CHECK(plan.takeDue(budget, time.now()).size() == 1);
  CHECK(plan.takeDue(budget, time.now()).empty());
}
