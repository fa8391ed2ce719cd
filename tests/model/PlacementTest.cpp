#include "FleetModel.h"
#include <catch2/catch.hpp>
#include <cstdio>

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

/** Two regions of two data centres each, so far apart that load reports come late; 659
 * callers, each at one of 100 VMs. Without the ways under test. */
FleetPlan
distantDataCentres(int aUpstreams, const CallKind& aKind, std::uint64_t aSeed)
{
  FleetPlan plan;
  plan.entries = 100;
  plan.callers = 659;
  plan.upstreams = aUpstreams;
  plan.dataCentres = 4;
  plan.regions = 2;
  plan.slots = 2;
  plan.queueLength = 4;
  plan.hangsWhenFull = true;
  plan.slowShare = 0.3;
  plan.kinds = { aKind };
  plan.retryBurst = 164.0;
  plan.loadQuerySlots = kQuerySlots;
  plan.oneWay = std::chrono::microseconds(200);
  plan.otherDataCentreOneWay = std::chrono::microseconds(4400);
  plan.otherRegionOneWay = 12ms;
  plan.idleClose = 10s;
  plan.maxQueryWait = LoadReplyTimes::kMaxWait;
  plan.hasMargin = false;
  plan.knowsDistance = false;
  plan.seed = aSeed;
  return plan;
}

CallKind
lookups(double aPerSecond)
{
  return { Rank::Standard, aPerSecond, 190ms, 600ms, 4s };
}

void
printFigures(const char* aWay, const FleetResult& aResult)
{
  const auto& calls = aResult.of(Rank::Standard);
  const auto perSend = [&](double aSum) { return aSum / aResult.sent; };
  std::printf("%s: in target %.3f, late %.3f, refused %.3f, hung %d, queries %.1f, "
              "connections %.2f, fresh %.2f, age %.0f ms, regret %.0f ms, remote %.2f\n",
              aWay,
              calls.inTargetShare(),
              static_cast<double>(calls.late) / calls.offered,
              calls.refusedShare(),
              aResult.hung,
              static_cast<double>(aResult.loadQueries) / calls.offered,
              static_cast<double>(aResult.connections) / calls.offered,
              perSend(aResult.freshChoices),
              1000 * perSend(aResult.reportAge),
              1000 * perSend(aResult.regret),
              perSend(aResult.remoteChoices));
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

TEST_CASE("calls don't wait in one VM while the upstreams have room")
{
  const CallKind submissions{ Rank::Standard, 90.0, 130ms, 400ms, 3s };
  for (const std::uint64_t seed : { 1, 2 }) {
    auto plan = distantDataCentres(17, submissions, seed);
    const auto without = FleetModel(plan).run(kTime);
    plan.hasMargin = true;
    const auto with = FleetModel(plan).run(kTime);
    CAPTURE(without.of(Rank::Standard).inTargetShare());
    CAPTURE(with.of(Rank::Standard).inTargetShare());
    CHECK(with.of(Rank::Standard).inTargetShare() >
          without.of(Rank::Standard).inTargetShare() + 0.03);
    CHECK(with.of(Rank::Standard).refused <= without.of(Rank::Standard).refused);
  }
}

TEST_CASE("calls aren't sent unseen to data centres whose reports come late")
{
  auto plan = distantDataCentres(111, lookups(400.0), 1);
  const auto without = FleetModel(plan).run(8s);
  plan.knowsDistance = true;
  const auto with = FleetModel(plan).run(8s);
  CHECK(with.of(Rank::Standard).inTargetShare() >=
        without.of(Rank::Standard).inTargetShare());
  CHECK(with.remoteChoices < without.remoteChoices / 2);
  CHECK(with.connections < 0.8 * without.connections);
  CHECK(with.regret < without.regret);
}

TEST_CASE("figures of placing far from some data centres", "[.figures]")
{
  for (const double perSecond : { 217.0, 400.0, 500.0 }) {
    std::printf("%.0f calls a second\n", perSecond);
    for (const bool hasMargin : { false, true }) {
      for (const bool knowsDistance : { false, true }) {
        auto plan = distantDataCentres(111, lookups(perSecond), 1);
        plan.hasMargin = hasMargin;
        plan.knowsDistance = knowsDistance;
        const auto* const way = hasMargin       ? (knowsDistance ? "both" : "margin")
                                : knowsDistance ? "distance"
                                                : "neither";
        printFigures(way, FleetModel(plan).run(12s));
      }
    }
  }
}

TEST_CASE("equal plans give equal results")
{
  const auto first = FleetModel(noisyUpstreams(2, kQuerySlots, 4)).run(5s);
  const auto second = FleetModel(noisyUpstreams(2, kQuerySlots, 4)).run(5s);
  CHECK(first.loadQueries == second.loadQueries);
  CHECK(first.of(Rank::Urgent).inTarget == second.of(Rank::Urgent).inTarget);
}
