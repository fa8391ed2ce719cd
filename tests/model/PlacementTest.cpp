#include "FleetModel.h"
#include <catch2/catch.hpp>

using namespace masticwall;
using namespace masticwall::model;

namespace {

constexpr auto kTime = std::chrono::seconds(20);
constexpr int kQuerySlots = 12; ///< as the platform sets it

/** Upstreams of which a third is slow at any moment; the load is half of their slots. */
FleetPlan
noisyUpstreams(int aSlots, int aQuerySlots, std::uint64_t aSeed)
{
  FleetPlan plan;
  plan.entries = 123;
  plan.upstreams = 242 / aSlots;
  plan.dataCentres = 4;
  plan.slots = aSlots;
  plan.queueLength = 2 * aSlots;
  plan.slowShare = 0.3;
  plan.kinds = { { Rank::Urgent, 442.0, 160ms, 400ms, 3s } };
  plan.retryBurst = 194.0;
  plan.loadQuerySlots = aQuerySlots;
  plan.seed = aSeed;
  return plan;
}

} // namespace

TEST_CASE("callers of upstreams with two slots are served in target more often if more "
          "of these are asked")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    const auto few = FleetModel(noisyUpstreams(2, 0, seed)).run(kTime);
    const auto more = FleetModel(noisyUpstreams(2, kQuerySlots, seed)).run(kTime);
    const auto& fewOutcome = few.of(Rank::Urgent);
    const auto& moreOutcome = more.of(Rank::Urgent);
    CAPTURE(fewOutcome.inTargetShare(), fewOutcome.refusedShare());
    CAPTURE(moreOutcome.inTargetShare(), moreOutcome.refusedShare());
    CHECK(moreOutcome.inTargetShare() > fewOutcome.inTargetShare() + 0.03);
    CHECK(moreOutcome.refusedShare() <= fewOutcome.refusedShare());
    CHECK(more.loadQueries < 2.5 * few.loadQueries);
  }
}

TEST_CASE("upstreams with many slots are not asked more than before")
{
  for (const int slots : { 4, 6 }) {
    const auto few = FleetModel(noisyUpstreams(slots, 0, 1)).run(kTime);
    const auto more = FleetModel(noisyUpstreams(slots, kQuerySlots, 1)).run(kTime);
    CHECK(more.loadQueries == few.loadQueries);
  }
}

TEST_CASE("equal plans give equal results")
{
  const auto first = FleetModel(noisyUpstreams(2, kQuerySlots, 4)).run(5s);
  const auto second = FleetModel(noisyUpstreams(2, kQuerySlots, 4)).run(5s);
  CHECK(first.loadQueries == second.loadQueries);
  CHECK(first.of(Rank::Urgent).inTarget == second.of(Rank::Urgent).inTarget);
}
