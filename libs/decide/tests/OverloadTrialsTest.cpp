#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/UpstreamPool.h>

using namespace masticwall;
using namespace masticwall::test;

namespace {

constexpr int kMaxInFlight = 15;
constexpr int kSlots = 4;

/** One VM's view of a service with three upstreams, "a", "b" and "c". */
class ThreeUpstreams
{
public:
  ThreeUpstreams()
  {
    mPool.update({ upstream("a"), upstream("b"), upstream("c") }, kSlots, mClock.now());
    mClock.advance(10s); // no slow start
    mLimit.maxTotal = 500ms;
  }

  /** The upstream that a call is sent to; empty if it is refused. */
  std::string send()
  {
    const auto* const state = mPool.chooseLowestLatency(
      mLocality, mLimit, { kMaxInFlight }, mClock.now(), mRandom);
    return state == nullptr ? std::string() : state->address.name;
  }

  void end(const std::string& aName, AttemptOutcome aOutcome, Duration aLatency)
  {
    mPool.recordAttemptEnd(aName, aOutcome, aLatency, mClock.now());
  }

  /** Attempts at all upstreams that end like this, whether or not calls are sent. */
  void endAll(int aTimes, AttemptOutcome aOutcome, Duration aLatency)
  {
    for (int i = 0; i < aTimes; ++i) {
      for (const auto* const it : { "a", "b", "c" }) {
        end(it, aOutcome, aLatency);
      }
    }
    mClock.advance(10s); // no back-off
  }

  void reportAll(int aInUse, int aQueued)
  {
    for (const auto* const it : { "a", "b", "c" }) {
      mPool.reportLoad(it, { aInUse, aQueued, mClock.now(), kSlots });
    }
  }

  /** The calls that are sent of one every 10 ms, which never end; reports come with each.
   */
  int countSent(Duration aTime, int aInUse, int aQueued)
  {
    int n = 0;
    for (const auto end = mClock.now() + aTime; mClock.now() < end;) {
      reportAll(aInUse, aQueued);
      n += send().empty() ? 0 : 1;
      mClock.advance(10ms);
    }
    return n;
  }

  UpstreamPool& pool() { return mPool; }
  ManualClock& clock() { return mClock; }

private:
  static UpstreamAddress upstream(const std::string& aName)
  {
    return { aName, "s", "r", "10.0.0.1", 9000, "1", "d" };
  }

  ManualClock mClock;
  UpstreamPool mPool;
  Locality mLocality{ "r", "d" };
  LatencyLimit mLimit;
  std::mt19937_64 mRandom{ 1 };
};

} // namespace

TEST_CASE("failed attempts at all upstreams don't make calls be refused")
{
  ThreeUpstreams service;
  service.endAll(10, AttemptOutcome::Answered, 20ms);
  service.endAll(50, AttemptOutcome::Failed, 1500ms);
  CHECK(service.pool().typicalProcessingTime() == 20ms);
  CHECK_FALSE(service.send().empty());
}

TEST_CASE("failed attempts before any answer don't make calls be refused")
{
  ThreeUpstreams service;
  service.endAll(50, AttemptOutcome::Failed, 1500ms);
  CHECK_FALSE(service.send().empty());
}

TEST_CASE("an upstream whose attempts fail after a long time is avoided")
{
  ThreeUpstreams service;
  service.endAll(10, AttemptOutcome::Answered, 20ms);
  for (int i = 0; i < 20; ++i) {
    service.end("a", AttemptOutcome::Failed, 1500ms);
  }
  service.clock().advance(10s); // no back-off
  int sent = 0;
  for (int i = 0; i < 300; ++i) {
    const auto name = service.send();
    sent += name == "a" ? 1 : 0;
    service.end(name,
                name == "a" ? AttemptOutcome::Failed : AttemptOutcome::Answered,
                name == "a" ? 1500ms : 20ms);
    service.clock().advance(10ms);
  }
  CHECK(sent <= 2); // trials
}

TEST_CASE("after all upstreams were slow a trial shows that they no longer are")
{
  ThreeUpstreams service;
  service.endAll(30, AttemptOutcome::Answered, 2s);
  service.reportAll(0, 0);
  CHECK(service.send().empty());
  service.clock().advance(1s);
  service.reportAll(0, 0);
  const auto name = service.send();
  REQUIRE_FALSE(name.empty());
  CHECK(service.send().empty()); // one at a time
  service.end(name, AttemptOutcome::Answered, 20ms);
  CHECK(service.pool().typicalProcessingTime() == 20ms);
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(service.send().empty());
  }
}

TEST_CASE("a trial that fails or is slow changes nothing, and the next comes later")
{
  ThreeUpstreams service;
  service.endAll(30, AttemptOutcome::Answered, 2s);
  int trials = 0;
  for (int i = 0; i < 6000; ++i) {
    service.reportAll(0, 0);
    const auto name = service.send();
    if (!name.empty()) {
      ++trials;
      const bool hasFailed = trials % 2 == 0;
      service.end(
        name, hasFailed ? AttemptOutcome::Failed : AttemptOutcome::Answered, 2s);
    }
    service.clock().advance(10ms);
  }
  CHECK(trials >= 7);
  CHECK(trials <= 10); // in one minute
}

TEST_CASE("without reports of their load, upstreams get trials as well")
{
  ThreeUpstreams service;
  service.endAll(30, AttemptOutcome::Answered, 2s);
  CHECK(service.send().empty());
  service.clock().advance(1s);
  CHECK_FALSE(service.send().empty());
}

TEST_CASE("a flood brings no trials")
{
  ThreeUpstreams service;
  service.endAll(30, AttemptOutcome::Answered, 400ms);
  CHECK(service.countSent(60s, kSlots, 2 * kSlots) == 0);
}

TEST_CASE("no trial is started while calls are in flight")
{
  ThreeUpstreams service;
  service.endAll(30, AttemptOutcome::Answered, 20ms);
  REQUIRE_FALSE(service.send().empty());
  const auto running = service.pool().snapshot();
  for (const auto& it : running) {
    // Calls that this one outlasts.
    for (int i = 0; it.inFlight == 0 && i < 60; ++i) {
      service.end(it.address.name, AttemptOutcome::Answered, 2s);
    }
  }
  CHECK(service.pool().typicalProcessingTime() > 500ms);
  CHECK(service.countSent(10s, 0, 0) == 0);
}
