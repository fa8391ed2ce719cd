#include <algorithm>
#include <catch2/catch.hpp>
#include <decide/AdmissionQueue.h>
#include <decide/TenantWeight.h>
#include <numeric>
#include <queue>
#include <random>

using namespace masticwall;

namespace {

constexpr int kTenants = 70;
constexpr int kLimit = 16;
constexpr double kServiceSeconds = 0.15;
constexpr double kCapacity = kLimit / kServiceSeconds; ///< calls a second
constexpr Duration kTarget = std::chrono::milliseconds(400);
constexpr double kRunSeconds = 60.0;

struct TenantResult
{
  double offered = 0.0;
  double started = 0.0;

  double servedPart() const { return offered == 0.0 ? 1.0 : started / offered; }
};

/**
 * One service of one VM and the calls of its tenants, a few of them large, in virtual
 * time: Poisson arrivals and random service times. All tenants have one rank.
 */
class TenantSimulation
{
public:
  /** `aLoad`: usual calls, as a part of the capacity. The tenant `aHot` sends `aFactor`
   * times its usual, over `aCallers` callers. */
  TenantSimulation(double aLoad, int aHot, double aFactor, std::uint64_t aCallers)
    : mHot(aHot)
    , mCallers(aCallers)
    , mResults(kTenants)
  {
    AdmissionQueue::Policies policies;
    policies[indexOf(Rank::Standard)] = { kTarget, 0.2, 100 };
    mQueue.configure(policies, kLimit, 200);
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> size(0.0, 1.5);
    for (int i = 0; i < kTenants; ++i) {
      mRates.push_back(size(random));
    }
    const auto sum = std::accumulate(mRates.begin(), mRates.end(), 0.0);
    for (auto& it : mRates) {
      it *= aLoad * kCapacity / sum;
    }
    for (int i = 0; i < kTenants; ++i) {
      Tenant tenant;
      tenant.perSecond = 2.0 * mRates[at(i)];
      mWeights.push_back(tenantWeight(tenant, { 5s, 0.1, 20.0 }));
      mRates[at(i)] *= i == aHot ? aFactor : 1.0;
    }
  }

  /** The largest tenant, or the one in the middle. */
  int tenantAt(bool aIsLargest) const
  {
    std::vector<int> tenants(kTenants);
    std::iota(tenants.begin(), tenants.end(), 0);
    std::sort(tenants.begin(), tenants.end(), [&](int aLeft, int aRight) {
      return mRates[at(aLeft)] > mRates[at(aRight)];
    });
    return tenants[aIsLargest ? 0 : kTenants / 2];
  }

  void run()
  {
    for (int i = 0; i < kTenants; ++i) {
      scheduleArrival(i);
    }
    while (!mEvents.empty() && mEvents.top().at < kRunSeconds) {
      const auto event = mEvents.top();
      mEvents.pop();
      mNow = event.at;
      if (event.tenant >= 0) {
        scheduleArrival(event.tenant);
        arrive(event.tenant);
        continue;
      }
      for (const auto& it : mQueue.release(now()).started) {
        start(it);
      }
    }
  }

  const std::vector<TenantResult>& results() const { return mResults; }

  /** The served part of the tenth of the tenants that is served worst, without `aHot`. */
  double worstTenth() const
  {
    std::vector<double> parts;
    for (int i = 0; i < kTenants; ++i) {
      if (i != mHot) {
        parts.push_back(mResults[at(i)].servedPart());
      }
    }
    std::sort(parts.begin(), parts.end());
    constexpr int kTenth = kTenants / 10;
    return std::accumulate(parts.begin(), parts.begin() + kTenth, 0.0) / kTenth;
  }

private:
  struct Event
  {
    double at = 0.0;
    int tenant = -1; ///< of a call that arrives; -1: a call ends

    bool operator>(const Event& aOther) const { return at > aOther.at; }
  };

  static std::size_t at(int aIndex) { return static_cast<std::size_t>(aIndex); }

  Instant now() const
  {
    return Instant{ std::chrono::hours(1) } +
           std::chrono::duration_cast<Duration>(std::chrono::duration<double>(mNow));
  }

  void scheduleArrival(int aTenant)
  {
    std::exponential_distribution<double> gap(mRates[at(aTenant)]);
    mEvents.push({ mNow + gap(mRandom), aTenant });
  }

  void arrive(int aTenant)
  {
    const auto callers = aTenant == mHot ? mCallers : 1;
    const auto tenant = static_cast<std::uint64_t>(aTenant) + 1;
    AdmissionRequest request;
    request.call = mNextCall++;
    request.caller = 1'000 * tenant + request.call % callers;
    request.rank = Rank::Standard;
    request.deadline = now() + std::chrono::seconds(4);
    request.arrivedAt = now();
    request.tenant = tenant;
    request.weight = mWeights[at(aTenant)];
    mResults[at(aTenant)].offered += 1.0;
    if (mQueue.offer(request, now()).verdict == AdmissionVerdict::Start) {
      start(request);
    }
  }

  void start(const AdmissionRequest& aRequest)
  {
    mResults[aRequest.tenant - 1].started += 1.0;
    std::exponential_distribution<double> service(1.0 / kServiceSeconds);
    mEvents.push({ mNow + service(mRandom), -1 });
  }

  int mHot;
  std::uint64_t mCallers;
  std::vector<TenantResult> mResults;
  std::vector<double> mRates; ///< calls a second
  std::vector<double> mWeights;
  AdmissionQueue mQueue;
  std::mt19937_64 mRandom{ 1 };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  double mNow = 0.0;
  std::uint64_t mNextCall = 1;
};

AdmissionRequest
callOf(std::uint64_t aCall, std::uint64_t aTenant, std::uint64_t aCaller, double aWeight)
{
  AdmissionRequest request;
  request.call = aCall;
  request.caller = aCaller;
  request.tenant = aTenant;
  request.weight = aWeight;
  return request;
}

} // namespace

TEST_CASE("a tenant that sends 5 or 20 times its usual takes no room from the others")
{
  for (const auto load : { 0.7, 1.1 }) {
    for (const bool isLargest : { true, false }) {
      for (const std::uint64_t callers : { 1, 50 }) {
        const auto hot = TenantSimulation(load, -1, 1.0, 1).tenantAt(isLargest);
        TenantSimulation usual(load, hot, 1.0, callers);
        usual.run();
        for (const auto factor : { 5.0, 20.0 }) {
          CAPTURE(load, isLargest, callers, factor);
          TenantSimulation flood(load, hot, factor, callers);
          flood.run();
          CHECK(flood.worstTenth() >= 0.9 * usual.worstTenth());
          double offered = 0.0;
          double started = 0.0;
          for (const auto& it : flood.results()) {
            offered += it.offered;
            started += it.started;
          }
          for (int i = 0; i < kTenants; ++i) {
            CAPTURE(i);
            const auto part = flood.results()[static_cast<std::size_t>(i)].servedPart();
            CHECK(part >= (i == hot ? 0.0 : 0.25) * started / offered);
          }
        }
      }
    }
  }
}

TEST_CASE(
  "tenants with waiting calls start them by their weights, whatever their callers")
{
  FairQueue queue;
  std::uint64_t call = 0;
  for (std::uint64_t i = 0; i < 100; ++i) {
    queue.push(callOf(call++, 1, 1'000 + i, 3.0));
    queue.push(callOf(call++, 2, 2'000, 1.0));
  }
  int first = 0;
  for (int i = 0; i < 40; ++i) {
    first += queue.pop()->tenant == 1 ? 1 : 0;
  }
  CHECK(first == 30);
}

TEST_CASE("within a tenant callers take turns")
{
  FairQueue queue;
  for (std::uint64_t i = 0; i < 5; ++i) {
    queue.push(callOf(i, 1, 10, 1.0));
  }
  queue.push(callOf(5, 1, 11, 1.0));
  CHECK(queue.pop()->call == 0);
  CHECK(queue.pop()->call == 5);
}

TEST_CASE("a tenant without waiting calls has no advantage from having paused")
{
  FairQueue queue;
  for (std::uint64_t i = 0; i < 10; ++i) {
    queue.push(callOf(i, 1, 10, 1.0));
  }
  queue.push(callOf(10, 2, 20, 1.0));
  int second = 0;
  for (std::uint64_t i = 0; i < 6; ++i) { // it sends the next call as soon as one starts
    const auto popped = queue.pop();
    if (popped->tenant == 2) {
      ++second;
      queue.push(callOf(20 + i, 2, 20, 1.0));
    }
  }
  CHECK(second == 3);
}
