#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/UpstreamPool.h>

using namespace masticwall;

namespace {

constexpr int kMaxInFlight = 15;

UpstreamAddress
address(const std::string& aName,
        const std::string& aRegion,
        const std::string& aDataCentre)
{
  UpstreamAddress upstream;
  upstream.name = aName;
  upstream.region = aRegion;
  upstream.dataCentre = aDataCentre;
  upstream.slots = 4;
  return upstream;
}

/** Two upstreams in this data centre, one in another, one in another region. */
class Fixture
{
public:
  Fixture()
  {
    mLocality.region = "sertao";
    mLocality.dataCentre = "petrolina";
    mPool.update({ address("near-1", "sertao", "petrolina"),
                   address("near-2", "sertao", "petrolina"),
                   address("next", "sertao", "juazeiro"),
                   address("far", "litoral", "recife") },
                 4,
                 mTime.now());
  }

  void report(const std::string& aName,
              int aInUse,
              int aQueued,
              int aProcessingTimePercent)
  {
    LoadReport load;
    load.inUse = aInUse;
    load.queued = aQueued;
    load.slots = 4;
    load.processingTimePercent = aProcessingTimePercent;
    load.receivedAt = mTime.now();
    mPool.reportLoad(aName, load);
  }

  std::string choose(Duration aMaxTotal = 10s, Duration aMaxQueueing = 10s)
  {
    const auto* const chosen = mPool.chooseLowestLatency(
      mLocality, { aMaxTotal, aMaxQueueing }, { kMaxInFlight }, mTime.now(), mRandom);
    return chosen == nullptr ? "" : chosen->address.name;
  }

  /** Candidates among the best `aCount` whose load report is older than 60 ms. */
  std::vector<UpstreamAddress> staleCandidates(std::size_t aCount, int aSlots = 0)
  {
    return mPool.staleTopCandidates(
      mLocality, { kMaxInFlight }, { aCount, aSlots }, 60ms, mTime.now(), mRandom);
  }

  test::ManualClock& time() { return mTime; }
  UpstreamPool& pool() { return mPool; }
  Locality& locality() { return mLocality; }

private:
  test::ManualClock mTime;
  std::mt19937_64 mRandom{ 11 };
  Locality mLocality;
  UpstreamPool mPool;
};

} // namespace

TEST_CASE_METHOD(Fixture, "an upstream that reports slow processing is avoided")
{
  report("near-1", 0, 0, 400);
  report("near-2", 1, 0, 100);
  CHECK(choose() == "near-2");
}

TEST_CASE_METHOD(Fixture, "a reported processing time has no effect after two seconds")
{
  report("near-1", 0, 0, 400);
  report("near-2", 3, 0, 100);
  time().advance(2s);
  report("near-2", 3, 0, 100);
  CHECK(choose() == "near-1");
}

TEST_CASE_METHOD(
  Fixture,
  "an upstream that reports fast processing is preferred to one without reports")
{
  // One in three reports is slow, so the mean processing time is about 200%. An upstream
  // without a report is estimated at this mean, as it may be one of the slow ones.
  for (int i = 0; i < 60; ++i) {
    report("next", 0, 0, i % 3 == 0 ? 400 : 100);
  }
  for (int i = 0; i < 20; ++i) {
    report("near-1", 1, 0, 100);
    CHECK(choose() == "near-1");
    pool().recordAttemptEnd("near-1", AttemptOutcome::Cancelled, {}, time().now());
  }
}

TEST_CASE_METHOD(Fixture,
                 "distant upstreams are selected when the near ones are overloaded")
{
  CHECK(choose().starts_with("near"));
  report("near-1", 4, 6, 100);
  report("near-2", 4, 6, 100);
  CHECK(choose() == "next");
  report("next", 4, 8, 400);
  report("near-1", 4, 8, 400);
  report("near-2", 4, 8, 400);
  CHECK(choose() == "far");
}

TEST_CASE_METHOD(Fixture,
                 "no upstream is selected if all estimates exceed the total limit")
{
  for (const auto* const it : { "near-1", "near-2", "next", "far" }) {
    report(it, 4, 8, 400);
  }
  CHECK(choose(300ms).empty());
  CHECK_FALSE(choose(10s).empty());
}

TEST_CASE_METHOD(Fixture,
                 "no upstream is selected if all estimates exceed the queueing limit")
{
  for (const auto* const it : { "near-1", "near-2", "next", "far" }) {
    report(it, 4, 2, 100);
  }
  CHECK(choose(10s, 20ms).empty());
  CHECK_FALSE(choose(10s, 10s).empty());
}

TEST_CASE_METHOD(Fixture, "the distance penalty does not count towards the total limit")
{
  for (const auto* const it : { "near-1", "near-2", "next" }) {
    report(it, 4, 8, 400);
  }
  report("far", 0, 0, 100);
  CHECK(choose(250ms) == "far");
}

TEST_CASE_METHOD(Fixture,
                 "only candidates without a fresh load report are returned as stale")
{
  CHECK(staleCandidates(2).size() == 2);
  report("near-1", 0, 0, 100);
  report("near-2", 0, 0, 100);
  CHECK(staleCandidates(2).empty());
  time().advance(61ms);
  CHECK(staleCandidates(2).size() == 2);
}

TEST_CASE_METHOD(Fixture, "more candidates are looked at until they have enough slots")
{
  CHECK(staleCandidates(1, 4).size() == 1);
  CHECK(staleCandidates(1, 5).size() == 2);
  CHECK(staleCandidates(1, 12).size() == 3);
  CHECK(staleCandidates(1, 1000).size() == 4);
  report("near-1", 0, 0, 100);
  CHECK(staleCandidates(1, 12).size() == 2);
}

TEST_CASE_METHOD(Fixture, "an unreachable upstream is not selected during its back-off")
{
  pool().reportUnreachable("near-1", time().now());
  for (int i = 0; i < 8; ++i) {
    CHECK(choose() != "near-1");
  }
}

TEST_CASE_METHOD(Fixture, "an unknown load far away doesn't count as none")
{
  const auto fillNear = [this] {
    report("near-1", 4, 3, 100);
    report("near-2", 4, 3, 100);
  };
  const auto chooseOnce = [this] {
    auto name = choose();
    pool().recordAttemptEnd(name, AttemptOutcome::Cancelled, {}, time().now());
    return name;
  };
  fillNear();
  CHECK(chooseOnce() == "next");
  locality().replyTimes.record("juazeiro", 19ms);
  for (int i = 0; i < 20; ++i) {
    fillNear();
    CHECK(chooseOnce().starts_with("near"));
  }
  // Known to be idle, it is as good as before.
  report("next", 0, 0, 100);
  CHECK(choose() == "next");
}

TEST_CASE_METHOD(Fixture, "upstreams have room if they report fewer calls than slots")
{
  CHECK_FALSE(pool().hasRoom());
  report("near-1", 2, 0, 100);
  CHECK(pool().hasRoom());
  for (int i = 0; i < 100; ++i) {
    report("near-1", 4, 2, 100);
  }
  CHECK_FALSE(pool().hasRoom());
}
