#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/AdmissionQueue.h>
#include <map>

using namespace masticwall;

namespace {

/** A queue in virtual time, with calls numbered from 1 in the order of arrival. */
class Fixture
{
public:
  explicit Fixture(int aLimit, std::size_t aQueueLength = 100)
  {
    AdmissionQueue::Policies policies;
    policies[indexOf(Rank::Urgent)] = { 1s, 0.4, 10 };
    policies[indexOf(Rank::Standard)] = { 1s, 0.2, 2 };
    policies[indexOf(Rank::Bulk)] = { 1s, 0.1, 1 };
    mQueue.configure(policies, aLimit, aQueueLength);
  }

  Admission offer(Rank aRank, std::uint64_t aCaller = 1)
  {
    return mQueue.offer(
      { mNextCall++, aCaller, 0, aRank, mTime.now() + 10s, mTime.now() }, mTime.now());
  }

  std::vector<AdmissionRequest> releaseAfter(Duration aAfter)
  {
    return releaseAllAfter(aAfter).started;
  }

  AdmissionRelease releaseAllAfter(Duration aAfter)
  {
    mTime.advance(aAfter);
    return mQueue.release(mTime.now());
  }

  AdmissionQueue& queue() { return mQueue; }

private:
  test::ManualClock mTime;
  AdmissionQueue mQueue;
  std::uint64_t mNextCall = 1;
};

/** Keeps calls of `aFloodingRanks` waiting, and counts the starts of each rank. */
std::map<Rank, int>
countStarts(Fixture& aFixture, const std::vector<Rank>& aFloodingRanks, int aReleases)
{
  std::map<Rank, int> starts;
  for (int i = 0; i < aReleases; ++i) {
    for (const auto rank : aFloodingRanks) {
      while (aFixture.queue().waiting(rank) < 5) {
        aFixture.offer(rank);
      }
    }
    for (const auto& it : aFixture.releaseAfter(1ms)) {
      ++starts[it.rank];
    }
  }
  return starts;
}

} // namespace

TEST_CASE("calls start immediately below the limit and wait at the limit")
{
  Fixture fixture(2);
  CHECK(fixture.offer(Rank::Bulk).verdict == AdmissionVerdict::Start);
  CHECK(fixture.offer(Rank::Bulk).verdict == AdmissionVerdict::Start);
  CHECK(fixture.offer(Rank::Urgent).verdict == AdmissionVerdict::Wait);
  const auto started = fixture.releaseAfter(1ms);
  REQUIRE(started.size() == 1);
  CHECK(started[0].rank == Rank::Urgent);
}

TEST_CASE("waiting calls start in order of rank")
{
  Fixture fixture(1);
  fixture.offer(Rank::Bulk);
  fixture.offer(Rank::Bulk);
  fixture.offer(Rank::Standard);
  fixture.offer(Rank::Urgent);
  CHECK(fixture.releaseAfter(1ms).at(0).rank == Rank::Urgent);
  CHECK(fixture.releaseAfter(1ms).at(0).rank == Rank::Standard);
  CHECK(fixture.releaseAfter(1ms).at(0).rank == Rank::Bulk);
}

TEST_CASE("under a flood of urgent calls the other ranks get their floors")
{
  Fixture fixture(3);
  const auto starts =
    countStarts(fixture, { Rank::Urgent, Rank::Standard, Rank::Bulk }, 1000);
  CHECK(starts.at(Rank::Standard) >= 195);
  CHECK(starts.at(Rank::Bulk) >= 95);
  CHECK(starts.at(Rank::Urgent) >= 600);
}

TEST_CASE("under a flood of bulk calls an urgent call is among the next two starts")
{
  Fixture fixture(1);
  fixture.offer(Rank::Bulk);
  for (int i = 0; i < 50; ++i) {
    fixture.offer(Rank::Bulk);
  }
  fixture.releaseAfter(1ms);
  CHECK(fixture.offer(Rank::Urgent).verdict == AdmissionVerdict::Wait);
  // At most one bulk call may start before it, for the floor of its rank.
  const auto first = fixture.releaseAfter(1ms).at(0).rank;
  const auto second = fixture.releaseAfter(1ms).at(0).rank;
  CHECK((first == Rank::Urgent || second == Rank::Urgent));
}

TEST_CASE("a call whose predicted wait exceeds its target is refused immediately")
{
  Fixture fixture(1);
  fixture.offer(Rank::Bulk);
  int refused = 0;
  for (int i = 0; i < 200; ++i) {
    refused += fixture.offer(Rank::Bulk).verdict == AdmissionVerdict::Refuse ? 1 : 0;
    if (i % 4 == 0) {
      // One start every 100 ms: about ten calls can start within the target of 1 s.
      fixture.releaseAfter(100ms);
    }
  }
  CHECK(refused > 100);
  CHECK(fixture.queue().waiting(Rank::Bulk) <= 15);
}

TEST_CASE(
  "in a full queue a new caller displaces a call of a caller with many, and takes turns")
{
  Fixture fixture(1, 20);
  constexpr std::uint64_t kFlooding = 1;
  constexpr std::uint64_t kOther = 2;
  fixture.offer(Rank::Bulk, kFlooding);
  for (int i = 0; i < 30; ++i) {
    fixture.offer(Rank::Bulk, kFlooding);
  }
  const auto admission = fixture.offer(Rank::Bulk, kOther);
  CHECK(admission.verdict == AdmissionVerdict::Wait);
  REQUIRE(admission.displaced.has_value());
  CHECK(admission.displaced->caller == kFlooding);
  const auto first = fixture.releaseAfter(1ms).at(0).caller;
  const auto second = fixture.releaseAfter(1ms).at(0).caller;
  CHECK(first != second);
}

TEST_CASE("a cancelled call does not start")
{
  Fixture fixture(1);
  fixture.offer(Rank::Bulk);
  fixture.offer(Rank::Bulk);
  CHECK(fixture.queue().cancel({ 2, 1, 0, Rank::Bulk, {}, {} }));
  CHECK_FALSE(fixture.queue().cancel({ 2, 1, 0, Rank::Bulk, {}, {} }));
  CHECK(fixture.releaseAfter(1ms).empty());
}

TEST_CASE("a call that has waited longer than its target expires")
{
  Fixture fixture(1);
  fixture.offer(Rank::Bulk);
  fixture.offer(Rank::Bulk);
  fixture.offer(Rank::Bulk);
  const auto release = fixture.releaseAllAfter(1100ms);
  CHECK(release.started.empty());
  CHECK(release.expired.size() == 2);
  CHECK(fixture.queue().inFlight() == 0);
}

TEST_CASE("all waiting calls can be removed, the most urgent first")
{
  Fixture fixture(1);
  fixture.offer(Rank::Bulk);
  fixture.offer(Rank::Bulk, 1);
  fixture.offer(Rank::Urgent, 2);
  fixture.offer(Rank::Standard, 3);
  const auto removed = fixture.queue().removeWaiting(Rank::Urgent);
  REQUIRE(removed.size() == 3);
  CHECK(removed[0].rank == Rank::Urgent);
  CHECK(removed[1].rank == Rank::Standard);
  CHECK(removed[2].rank == Rank::Bulk);
  CHECK(fixture.queue().inFlight() == 1);
  CHECK(fixture.releaseAfter(1ms).empty());
}
