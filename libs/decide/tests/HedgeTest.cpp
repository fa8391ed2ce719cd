#include <catch2/catch.hpp>
#include <decide/HedgeBudget.h>
#include <decide/HedgeDelay.h>
#include <decide/HedgeRequest.h>
#include <deque>

using namespace masticwall;

namespace {

HedgeDelay
delayWith(int aSamples, Duration aUsual, Duration aSlow, int aSlowEvery)
{
  HedgeDelay delay;
  for (int i = 1; i <= aSamples; ++i) {
    delay.record(i % aSlowEvery == 0 ? aSlow : aUsual);
  }
  return delay;
}

/** Hedges that a fleet sends if it hedges whenever the budget allows it. */
struct HedgingFleet
{
  HedgingFleet(int aVms, double aShare)
    : vms(static_cast<std::size_t>(aVms))
  {
    for (auto& it : vms) {
      restart(it, aShare);
    }
  }

  void restart(HedgeBudget& aVm, double aShare) const
  {
    aVm = HedgeBudget();
    aVm.configure({ aShare }, static_cast<int>(vms.size()), 1);
  }

  /** The most hedges in any 10 s, over the calls in the busiest window nearby. */
  double worstShare(int aSeconds, double aCallsPerVm, double aShare, bool aRestarts)
  {
    constexpr int kWindow = 10;
    std::deque<std::pair<int, int>> seconds; // calls, hedges
    std::poisson_distribution<int> arrivals(aCallsPerVm);
    double worst = 0.0;
    for (int second = 0; second < aSeconds; ++second) {
      now += 1s;
      auto& [calls, hedges] = seconds.emplace_back(0, 0);
      for (std::size_t i = 0; i < vms.size(); ++i) {
        if (aRestarts && (i + static_cast<std::size_t>(second)) % 15 == 0) {
          restart(vms[i], aShare);
        }
        for (int n = arrivals(random); n > 0; --n) {
          ++calls;
          vms[i].recordCall("s", now, random);
          hedges += vms[i].tryConsume("s", now) ? 1 : 0;
        }
      }
      if (seconds.size() > kWindow) {
        seconds.pop_front();
      }
      int sumCalls = 0;
      int sumHedges = 0;
      for (const auto& it : seconds) {
        sumCalls += it.first;
        sumHedges += it.second;
      }
      if (seconds.size() == kWindow) {
        worst = std::max(worst, sumHedges / static_cast<double>(sumCalls));
      }
    }
    return worst;
  }

  std::vector<HedgeBudget> vms;
  std::mt19937_64 random{ 7 };
  Instant now{ 3600s };
};

} // namespace

TEST_CASE("no hedge while too few latencies are known")
{
  auto delay = delayWith(19, 100ms, 100ms, 1);
  CHECK_FALSE(delay.after({ 0.02 }, 400ms).has_value());
  delay.record(100ms);
  CHECK(delay.after({ 0.02 }, 400ms).has_value());
}

TEST_CASE("the delay is the quantile that the operator's share of calls exceeds")
{
  auto delay = delayWith(200, 100ms, 900ms, 50);
  CHECK(delay.after({ 0.05 }, 0ms) == 100ms); // one call in fifty is slow
  CHECK(delay.after({ 0.01 }, 0ms) == 900ms);
}

TEST_CASE("a hedge is early enough to meet the target, but not before the median")
{
  auto delay = delayWith(200, 100ms, 900ms, 50);
  CHECK(delay.after({ 0.01 }, 400ms) == 300ms);
  CHECK(delay.after({ 0.01 }, 150ms) == 100ms);
}

TEST_CASE("the delay follows latencies that shift")
{
  auto delay = delayWith(300, 100ms, 100ms, 1);
  for (int i = 0; i < 256; ++i) {
    delay.record(300ms);
  }
  CHECK(delay.after({ 0.02 }, 0ms) == 300ms);
  CHECK(delay.median() == 300ms);
}

TEST_CASE("no hedge for suspects, without attempts, time or room")
{
  const HedgeRequest usual{ 1, 3, 1s, 100ms, false, false };
  CHECK(usual.verdict() == HedgeVerdict::Send);
  auto request = usual;
  request.isSuspect = true;
  CHECK(request.verdict() == HedgeVerdict::Suspect);
  request = usual;
  request.attempts = 3;
  CHECK(request.verdict() == HedgeVerdict::AttemptsUsed);
  request = usual;
  request.timeLeft = 100ms;
  CHECK(request.verdict() == HedgeVerdict::TooLate);
  request = usual;
  request.areCallsWaiting = true;
  CHECK(request.verdict() == HedgeVerdict::NoRoom);
}

TEST_CASE("the hedges of all VMs stay within the share, also while VMs restart")
{
  for (const auto vms : { 16, 100, 313, 1000 }) {
    for (const auto restarts : { false, true }) {
      HedgingFleet fleet(vms, 0.02);
      INFO(vms << " VMs, restarts " << restarts);
      // Whole hedges of few VMs vary around the sum of their fractions.
      const auto noise = 3.0 * std::sqrt(0.02 * vms * 50.0) / (vms * 50.0);
      CHECK(fleet.worstShare(60, 5.0, 0.02, restarts) <= 0.02 + noise);
    }
  }
}

TEST_CASE("without a share no hedge is sent")
{
  HedgeBudget budget;
  budget.configure({}, 1, 1);
  std::mt19937_64 random{ 1 };
  for (int i = 0; i < 1000; ++i) {
    budget.recordCall("s", Instant{ 3600s }, random);
  }
  CHECK_FALSE(budget.tryConsume("s", Instant{ 3600s }));
  CHECK_FALSE(HedgePolicy{}.isEnabled());
}
