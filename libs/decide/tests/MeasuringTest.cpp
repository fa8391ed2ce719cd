#include "VirtualTime.h"
#include <catch2/catch.hpp>
#include <decide/ProbePlan.h>
#include <decide/RendezvousHash.h>
#include <decide/SuspectList.h>
#include <decide/TokenBucket.h>

using namespace masticwall;

TEST_CASE("the shares of all VMs together keep to an upstream's budget, whoever they see")
{
  constexpr int kVms = 16;
  const MeasuringBudget budget{ 2.0, kVms };
  test::VirtualTime time;
  std::vector<ProbePlan> plans;
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
  // 100 s at 2 a second.
  CHECK(probes <= 200 + kVms);
  CHECK(probes >= 150);
}

TEST_CASE("a pause is not made up for with a burst of probes")
{
  ProbePlan plan(0.0);
  const MeasuringBudget budget{ 1.0, 1 };
  test::VirtualTime time;
  plan.setUpstreams({ "u" }, budget, time.now());
  plan.takeDue(budget, time.now());
  time.advance(60s);
  CHECK(plan.takeDue(budget, time.now()).size() == 1);
  CHECK(plan.takeDue(budget, time.now()).empty());
}

TEST_CASE("a rendezvous owner moves only if it leaves")
{
  const std::vector<std::string_view> all{ "a", "b", "c", "d" };
  const std::vector<std::string_view> fewer{ "a", "b", "c" };
  int moved = 0;
  for (int i = 0; i < 200; ++i) {
    const auto key = "key-" + std::to_string(i);
    const auto before = all[rendezvousOwner(key, all)];
    const auto after = fewer[rendezvousOwner(key, fewer)];
    if (before != "d") {
      CHECK(before == after);
    } else {
      ++moved;
    }
  }
  CHECK(moved > 20);
  CHECK(moved < 100);
}

TEST_CASE("a request that has taken two upstreams is stopped, whoever saw the deaths")
{
  SuspectList list;
  test::VirtualTime time;
  const Digest request{};
  CHECK(list.noteDeath(request, "a", time.now()) == 1);
  CHECK_FALSE(list.isStopped(request, time.now()));
  CHECK(list.merge(request, "b", 1, time.now()));
  CHECK_FALSE(list.merge(request, "b", 1, time.now()));
  CHECK(list.isStopped(request, time.now()));
  time.advance(std::chrono::hours(1));
  CHECK_FALSE(list.isStopped(request, time.now()));
}

TEST_CASE("a token bucket refills at its rate and keeps a reserve")
{
  test::VirtualTime time;
  TokenBucket bucket(10.0, 10.0);
  CHECK(bucket.take(10.0, time.now()));
  CHECK_FALSE(bucket.take(1.0, time.now()));
  time.advance(500ms);
  CHECK_FALSE(bucket.take(4.0, time.now(), 2.0));
  CHECK(bucket.take(4.0, time.now()));
}
