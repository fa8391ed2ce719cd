#include <catch2/catch.hpp>
#include <cmath>
#include <decide/AdmissionQueue.h>
#include <map>
#include <queue>
#include <random>

using namespace masticwall;

namespace {

constexpr int kLimit = 15;
constexpr double kMeanServiceMs = 60.0;
constexpr double kServiceTimeSigma = 0.8; ///< of the log-normal distribution
constexpr double kCallsPerSecond = kLimit * 1000.0 / kMeanServiceMs; ///< capacity
constexpr Duration kTarget = std::chrono::milliseconds(250);
constexpr Duration kDeadline = 8s; ///< after the arrival
constexpr std::uint64_t kCallers = 20;

/** The outcomes of one rank's calls. */
struct RankResult
{
  int offered = 0;
  int refused = 0;
  int started = 0;
  int startedWithinTarget = 0;

  double refusedFraction() const { return static_cast<double>(refused) / offered; }
};

/**
 * Simulates one service behind one admission queue in virtual time: Poisson arrivals for
 * each rank and log-normal service times. The service runs as many calls at a time as the
 * queue's limit of calls in flight.
 */
class FloodSimulation
{
public:
  /** `aLoads`: each rank's offered load, as a multiple of the capacity. */
  FloodSimulation(std::array<double, kRankCount> aLoads, std::uint64_t aSeed)
    : mLoads(aLoads)
    , mRandom(aSeed)
  {
    AdmissionQueue::Policies policies;
    policies[indexOf(Rank::Urgent)] = { kTarget, 0.5, 100 };
    policies[indexOf(Rank::Standard)] = { kTarget, 0.2, 5 };
    policies[indexOf(Rank::Bulk)] = { kTarget, 0.1, 1 };
    mQueue.configure(policies, kLimit, 200);
  }

  void run(Duration aDuration)
  {
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      scheduleArrival(rank);
    }
    const auto end = mNow + aDuration;
    while (!mEvents.empty() && mEvents.top().at < end) {
      const auto event = mEvents.top();
      mEvents.pop();
      mNow = event.at;
      if (event.isEnd) {
        const auto release = mQueue.release(mNow);
        for (const auto& it : release.started) {
          start(it);
        }
        for (const auto& it : release.expired) {
          ++mResults[indexOf(it.rank)].refused;
        }
      } else {
        arrive(event.rank);
      }
    }
  }

  const RankResult& resultOf(Rank aRank) const { return mResults[indexOf(aRank)]; }

  /** Seconds of service time that were started, for each slot. */
  double busySecondsPerSlot() const
  {
    return static_cast<double>(mServiceTime.count()) / 1e9 / kLimit;
  }

private:
  struct Event
  {
    Instant at;
    bool isEnd = false;
    std::size_t rank = 0;

    bool operator>(const Event& aOther) const { return at > aOther.at; }
  };

  void scheduleArrival(std::size_t aRank)
  {
    if (mLoads[aRank] > 0.0) {
      std::exponential_distribution<double> gap(mLoads[aRank] * kCallsPerSecond);
      const std::chrono::duration<double> after(gap(mRandom));
      mEvents.push({ mNow + std::chrono::duration_cast<Duration>(after), false, aRank });
    }
  }

  void arrive(std::size_t aRank)
  {
    scheduleArrival(aRank);
    auto& result = mResults[aRank];
    ++result.offered;
    const AdmissionRequest request{ mNextCall++,
                                    mNextCall % kCallers,
                                    0,
                                    EnumTable<Rank>::kEntries[aRank].value,
                                    mNow + kDeadline,
                                    mNow };
    mArrivals[request.call] = mNow;
    const auto admission = mQueue.offer(request, mNow);
    if (admission.displaced.has_value()) {
      ++mResults[indexOf(admission.displaced->rank)].refused;
    }
    if (admission.verdict == AdmissionVerdict::Refuse) {
      ++result.refused;
    } else if (admission.verdict == AdmissionVerdict::Start) {
      start(request);
    }
  }

  void start(const AdmissionRequest& aRequest)
  {
    auto& result = mResults[indexOf(aRequest.rank)];
    ++result.started;
    result.startedWithinTarget += mNow - mArrivals[aRequest.call] <= kTarget ? 1 : 0;
    std::lognormal_distribution<double> timeFactor(
      -kServiceTimeSigma * kServiceTimeSigma / 2.0, kServiceTimeSigma);
    const std::chrono::duration<double, std::milli> service(kMeanServiceMs *
                                                            timeFactor(mRandom));
    const auto time = std::chrono::duration_cast<Duration>(service);
    mServiceTime += time;
    mEvents.push({ mNow + time, true, 0 });
  }

  std::array<double, kRankCount> mLoads;
  std::mt19937_64 mRandom;
  AdmissionQueue mQueue;
  Instant mNow{ std::chrono::hours(1) };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::map<std::uint64_t, Instant> mArrivals;
  std::array<RankResult, kRankCount> mResults;
  Duration mServiceTime{ 0 };
  std::uint64_t mNextCall = 1;
};

constexpr auto kSimulatedTime = std::chrono::seconds(60);
constexpr double kSimulatedSeconds = 60.0;

} // namespace

TEST_CASE("bulk calls at five times the capacity cause under 1% refusals in other ranks")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    FloodSimulation simulation({ 0.15, 0.25, 5.0 }, seed);
    simulation.run(kSimulatedTime);
    CHECK(simulation.resultOf(Rank::Urgent).refusedFraction() < 0.01);
    CHECK(simulation.resultOf(Rank::Standard).refusedFraction() < 0.01);
    CHECK(simulation.resultOf(Rank::Bulk).started >
          0.1 * kCallsPerSecond * kSimulatedSeconds);
    CHECK(simulation.busySecondsPerSlot() / kSimulatedSeconds > 0.9);
  }
}

TEST_CASE(
  "under a flood of urgent calls every rank gets its floor and calls start within target")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    FloodSimulation simulation({ 5.0, 0.25, 0.3 }, seed);
    simulation.run(kSimulatedTime);
    const auto starts = kCallsPerSecond * kSimulatedSeconds;
    // 5% tolerance, as the service times are random.
    CHECK(simulation.resultOf(Rank::Standard).started > 0.95 * 0.2 * starts);
    CHECK(simulation.resultOf(Rank::Bulk).started > 0.95 * 0.1 * starts);
    CHECK(simulation.resultOf(Rank::Urgent).started > 0.95 * 0.5 * starts);
    const auto& urgent = simulation.resultOf(Rank::Urgent);
    CHECK(urgent.startedWithinTarget > 0.95 * urgent.started);
    CHECK(simulation.busySecondsPerSlot() / kSimulatedSeconds > 0.9);
  }
}
