#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/ProbeSchedule.h>

using namespace masticwall;

TEST_CASE("the probes of all VMs together stay within the upstream's probe budget")
{
  constexpr int kVms = 16;
  const ProbeBudget budget{ 2.0, kVms };
  test::ManualClock time;
  std::vector<ProbeSchedule> schedules;
  schedules.reserve(kVms);
  for (int i = 0; i < kVms; ++i) {
    schedules.emplace_back(static_cast<double>(i) / kVms);
    schedules.back().setUpstreams({ "u" }, budget, time.now());
  }
  int probes = 0;
  for (int tick = 0; tick < 2000; ++tick) {
    for (auto& schedule : schedules) {
      probes += static_cast<int>(schedule.takeDue(budget, time.now()).size());
    }
    time.advance(50ms);
  }
  // 100 s at 2 probes per second; each VM may send one more, as its first is due
  // within a period. The lower bound allows for the 50 ms ticks.
  CHECK(probes <= 200 + kVms);
  CHECK(probes >= 150);
}

TEST_CASE("a pause is not followed by a burst of probes")
{
  ProbeSchedule schedule(0.0);
  const ProbeBudget budget{ 1.0, 1 };
  test::ManualClock time;
  schedule.setUpstreams({ "u" }, budget, time.now());
  schedule.takeDue(budget, time.now());
  time.advance(60s);
  CHECK(schedule.takeDue(budget, time.now()).size() == 1);
  CHECK(schedule.takeDue(budget, time.now()).empty());
}
