#include <catch2/catch.hpp>
#include <cmath>
#include <decide/AdmissionQueue.h>
#include <map>
#include <queue>
#include <random>

using namespace masticwall;

namespace {

constexpr int kLimit = 15;
constexpr double kServiceMs = 60.0;
constexpr double kSigma = 0.8;
constexpr double kCapacity = kLimit * 1000.0 / kServiceMs; ///< calls a second
constexpr Duration kTarget = std::chrono::milliseconds(250);

/** What became of one rank's calls. */
struct RankResult
{
  int offered = 0;
  int refused = 0;
  int started = 0;
  int startedInTarget = 0;

  double refusedShare() const { return static_cast<double>(refused) / offered; }
};

/**
 * One service behind one admission queue, in virtual time: Poisson arrivals of each rank
 * and log-normal service times; the slots are the limit of calls in flight.
 */
class Flood
{
public:
  Flood(std::array<double, kRankCount> aLoads, std::uint64_t aSeed)
    : mLoads(aLoads)
    , mRandom(aSeed)
  {
    AdmissionQueue::Policies policies;
    policies[indexOf(Rank::Urgent)] = { kTarget, 0.5, 100 };
    policies[indexOf(Rank::Standard)] = { kTarget, 0.2, 5 };
    policies[indexOf(Rank::Bulk)] = { kTarget, 0.1, 1 };
    mQueue.configure(policies, kLimit, 200);
  }

  void run(Duration aTime)
  {
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      planArrival(rank);
    }
    const auto end = mNow + aTime;
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

  const RankResult& of(Rank aRank) const { return mResults[indexOf(aRank)]; }
  double useful() const
  {
    return static_cast<double>(mBusyUntilNow.count()) / 1e9 / kLimit;
  }

private:
  struct Event
  {
    Instant at;
    bool isEnd = false;
    std::size_t rank = 0;

    bool operator>(const Event& aOther) const { return at > aOther.at; }
  };

  void planArrival(std::size_t aRank)
  {
    if (mLoads[aRank] > 0.0) {
      std::exponential_distribution<double> gap(mLoads[aRank] * kCapacity);
      const std::chrono::duration<double> after(gap(mRandom));
      mEvents.push({ mNow + std::chrono::duration_cast<Duration>(after), false, aRank });
    }
  }

  void arrive(std::size_t aRank)
  {
    planArrival(aRank);
    auto& result = mResults[aRank];
    ++result.offered;
    const Ticket ticket{ mNext++,   mNext % 20, 0, EnumTable<Rank>::kEntries[aRank].value,
                         mNow + 8s, mNow };
    mArrivals[ticket.call] = mNow;
    const auto admission = mQueue.offer(ticket, mNow);
    if (admission.displaced.has_value()) {
      ++mResults[indexOf(admission.displaced->rank)].refused;
    }
    if (admission.verdict == AdmissionVerdict::Refuse) {
      ++result.refused;
    } else if (admission.verdict == AdmissionVerdict::Start) {
      start(ticket);
    }
  }

  void start(const Ticket& aTicket)
  {
    auto& result = mResults[indexOf(aTicket.rank)];
    ++result.started;
    result.startedInTarget += mNow - mArrivals[aTicket.call] <= kTarget ? 1 : 0;
    std::lognormal_distribution<double> shape(-kSigma * kSigma / 2.0, kSigma);
    const std::chrono::duration<double, std::milli> service(kServiceMs * shape(mRandom));
    const auto time = std::chrono::duration_cast<Duration>(service);
    mBusyUntilNow += time;
    mEvents.push({ mNow + time, true, 0 });
  }

  std::array<double, kRankCount> mLoads;
  std::mt19937_64 mRandom;
  AdmissionQueue mQueue;
  Instant mNow{ std::chrono::hours(1) };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::map<std::uint64_t, Instant> mArrivals;
  std::array<RankResult, kRankCount> mResults;
  Duration mBusyUntilNow{ 0 };
  std::uint64_t mNext = 1;
};

constexpr auto kTime = std::chrono::seconds(60);
constexpr double kSeconds = 60.0;

} // namespace

TEST_CASE("a flood of bulk work five times over leaves the other ranks their calls")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    Flood flood({ 0.15, 0.25, 5.0 }, seed);
    flood.run(kTime);
    CHECK(flood.of(Rank::Urgent).refusedShare() < 0.01);
    CHECK(flood.of(Rank::Standard).refusedShare() < 0.01);
    CHECK(flood.of(Rank::Bulk).started > 0.1 * kCapacity * kSeconds);
    CHECK(flood.useful() / kSeconds > 0.9);
  }
}

TEST_CASE("in a flood of urgent work every rank keeps its floor, and starts are in time")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    Flood flood({ 5.0, 0.25, 0.3 }, seed);
    flood.run(kTime);
    const auto starts = kCapacity * kSeconds;
    // 5% for the chance of the service times.
    CHECK(flood.of(Rank::Standard).started > 0.95 * 0.2 * starts);
    CHECK(flood.of(Rank::Bulk).started > 0.95 * 0.1 * starts);
    CHECK(flood.of(Rank::Urgent).started > 0.95 * 0.5 * starts);
    const auto& urgent = flood.of(Rank::Urgent);
    CHECK(urgent.startedInTarget > 0.95 * urgent.started);
    CHECK(flood.useful() / kSeconds > 0.9);
  }
}
