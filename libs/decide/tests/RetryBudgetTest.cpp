#include <catch2/catch.hpp>
#include <decide/RetryBudget.h>
#include <deque>
#include <memory>
#include <numeric>

using namespace masticwall;

namespace {

constexpr double kRatio = 0.2;
constexpr int kStepsPerSecond = 20;
constexpr Duration kStep = Duration(1s) / kStepsPerSecond;
constexpr int kWindowSteps =
  10 * kStepsPerSecond; ///< of RetryAllowance::kMinBudgetPeriod

/**
 * Entry processes that share one retry budget, in virtual time. Calls arrive at random,
 * and each process takes every retry that its budget allows while faults last.
 */
class Fleet
{
public:
  /** `aListed`: how many processes each of them believes to run. */
  Fleet(int aEntries, int aListed, double aBurst)
    : mBurst(aBurst)
  {
    mLimits.retryBudget = kRatio;
    mLimits.retryBurst = aBurst;
    mLimits.areSharedByAllVms = true;
    mAllowance = RetryAllowance::of(mLimits, aListed, 1);
    mEntries.resize(static_cast<std::size_t>(aEntries));
    mRetries.resize(mEntries.size());
    restartAll();
  }

  void restartAll()
  {
    for (auto& it : mEntries) {
      it = RetryBudget();
      it.configure(mAllowance);
    }
  }

  /** `aCallsPerEntry`: a second, on average; `aHasFaults`: all calls could be retried. */
  void run(int aSeconds, double aCallsPerEntry, bool aHasFaults)
  {
    std::poisson_distribution<int> arrivals(aCallsPerEntry / kStepsPerSecond);
    for (int step = 0; step < aSeconds * kStepsPerSecond; ++step) {
      mNow += kStep;
      int calls = 0;
      int retries = 0;
      for (std::size_t i = 0; i < mEntries.size(); ++i) {
        const auto n = arrivals(mRandom);
        calls += n;
        for (int call = 0; call < n; ++call) {
          mEntries[i].recordCall("s", mNow, mRandom);
          while (aHasFaults && mEntries[i].tryConsume("s", mNow)) {
            ++retries;
            ++mRetries[i];
          }
        }
      }
      mCallsByStep.push_back(calls);
      mRetriesByStep.push_back(retries);
    }
  }

  /**
   * The most retries in any window, beyond the ratio of the calls in that window, the one
   * before it or the one half a window before it, whichever has most.
   */
  double worstExcess() const
  {
    const auto n = static_cast<int>(mCallsByStep.size());
    double worst = 0.0;
    for (int begin = 0; begin + kWindowSteps <= n; ++begin) {
      int calls = 0;
      for (const auto back : { 0, kWindowSteps / 2, kWindowSteps }) {
        calls = std::max(calls, sum(mCallsByStep, begin - back));
      }
      worst = std::max(worst, sum(mRetriesByStep, begin) - kRatio * calls);
    }
    return worst;
  }

  double burst() const { return mBurst; }
  const std::vector<int>& retriesByEntry() const { return mRetries; }
  int retries() const { return std::accumulate(mRetries.begin(), mRetries.end(), 0); }

private:
  static int sum(const std::vector<int>& aSteps, int aBegin)
  {
    int n = 0;
    for (int i = std::max(0, aBegin); i < aBegin + kWindowSteps; ++i) {
      n += aSteps[static_cast<std::size_t>(i)];
    }
    return n;
  }

  double mBurst;
  Limits mLimits;
  RetryAllowance mAllowance;
  std::vector<RetryBudget> mEntries;
  std::vector<int> mRetries; ///< by entry
  std::vector<int> mCallsByStep;
  std::vector<int> mRetriesByStep;
  std::mt19937_64 mRandom{ 5 };
  Instant mNow{ std::chrono::hours(1) };
};

/** Bursts of the size that the users' deployments set: 1.4 retries for each VM. */
double
burstFor(int aEntries)
{
  return 1.4 * aEntries;
}

constexpr std::array kFleetSizes{ 1, 16, 125, 313, 1000 };
constexpr double kFewCalls = 1.6; ///< to one service, for each entry and second

} // namespace

TEST_CASE("the retry budget of a service is a ratio of its calls plus a burst")
{
  const Instant now{ std::chrono::hours(1) };
  std::mt19937_64 random{ 5 };
  RetryBudget budget;
  budget.configure({ 0.25, 2.0, 2.0 });
  budget.recordCall("a", now, random);
  CHECK(budget.tryConsume("a", now));
  CHECK(budget.tryConsume("a", now));
  CHECK_FALSE(budget.tryConsume("a", now));
  budget.recordCall("b", now, random);
  CHECK(budget.tryConsume("b", now));
  for (int i = 0; i < 3; ++i) {
    budget.recordCall("a", now, random);
  }
  CHECK(budget.tryConsume("a", now + 10s));
  CHECK_FALSE(budget.tryConsume("a", now + 20s));
}

TEST_CASE("every process of a large fleet can spend its share of the retries")
{
  for (const auto entries : kFleetSizes) {
    Fleet fleet(entries, entries, burstFor(entries));
    fleet.run(30, kFewCalls, false);
    fleet.run(30, kFewCalls, true);
    const auto share =
      RetryAllowance::of({ .retryBudget = kRatio, .areSharedByAllVms = true }, entries, 1)
        .perCall *
      kFewCalls * 30;
    const auto& retries = fleet.retriesByEntry();
    CAPTURE(entries);
    CHECK(*std::min_element(retries.begin(), retries.end()) >= 1);
    CHECK(fleet.retries() > 0.9 * share * entries);
  }
}

TEST_CASE("the retries of all processes stay within the budget in any window")
{
  for (const auto entries : kFleetSizes) {
    CAPTURE(entries);
    SECTION("while all are listed " + std::to_string(entries))
    {
      Fleet fleet(entries, entries, burstFor(entries));
      fleet.run(30, kFewCalls, false);
      fleet.run(30, kFewCalls, true);
      CHECK(fleet.worstExcess() <= fleet.burst());
    }
    SECTION("while half are listed " + std::to_string(entries))
    {
      Fleet fleet(entries, (entries + 1) / 2, burstFor(entries));
      fleet.run(30, kFewCalls, false);
      fleet.run(30, kFewCalls, true);
      CHECK(fleet.worstExcess() <= fleet.burst());
    }
    SECTION("while all restart again and again " + std::to_string(entries))
    {
      Fleet fleet(entries, entries, burstFor(entries));
      fleet.run(30, kFewCalls, false);
      for (int i = 0; i < 5; ++i) {
        fleet.run(2, kFewCalls, true);
        fleet.restartAll();
      }
      fleet.run(10, kFewCalls, true);
      CHECK(fleet.worstExcess() <= fleet.burst());
    }
    SECTION("after the calls have become few " + std::to_string(entries))
    {
      Fleet fleet(entries, entries, burstFor(entries));
      fleet.run(30, 5.0 * kFewCalls, false);
      fleet.run(30, 0.2 * kFewCalls, true);
      CHECK(fleet.worstExcess() <= fleet.burst());
    }
  }
}

TEST_CASE("a burst that is small for the number of processes is kept, too")
{
  Fleet fleet(1000, 1000, 200.0);
  fleet.run(30, kFewCalls, false);
  fleet.run(30, kFewCalls, true);
  CHECK(fleet.worstExcess() <= fleet.burst());
  CHECK(fleet.retries() > 0);
}

TEST_CASE("limits that make no sense allow no retries")
{
  Limits limits;
  limits.areSharedByAllVms = true;
  limits.retryBudget = -1.0;
  limits.retryBurst = -5.0;
  const auto allowance = RetryAllowance::of(limits, 0, 0);
  CHECK(allowance.perCall == 0.0);
  CHECK(allowance.burst == 0.0);
  const Instant now{ std::chrono::hours(1) };
  std::mt19937_64 random{ 5 };
  RetryBudget budget;
  budget.configure(allowance);
  for (int i = 0; i < 100; ++i) {
    budget.recordCall("s", now + i * 1s, random);
    CHECK_FALSE(budget.tryConsume("s", now + i * 1s));
  }
}
