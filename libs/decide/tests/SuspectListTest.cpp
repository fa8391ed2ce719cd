#include "ManualClock.h"
#include <catch2/catch.hpp>
#include <decide/SuspectList.h>

using namespace masticwall;

namespace {

Digest
makeDigest(int aNumber)
{
  Digest digest;
  digest.bytes[0] = static_cast<std::uint8_t>(aNumber);
  digest.bytes[1] = static_cast<std::uint8_t>(aNumber >> 8);
  return digest;
}

/** A request for which a share of the calls is made. */
struct Traffic
{
  double share = 0.0;
  Digest request;
};

/**
 * A fleet in virtual time: its VMs send calls to upstreams with slots; from time to time
 * two upstreams crash together, whatever they run. Each VM knows at once what the others
 * report, as messages take far less time than a call.
 */
class Fleet
{
public:
  static constexpr int kVms = 16;
  static constexpr int kUpstreams = 14;
  static constexpr std::size_t kMaxCalls = 56; ///< slots of all upstreams
  static constexpr Duration kWork = 100ms;
  static constexpr Duration kStep = 5ms;

  explicit Fleet(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mVms(kVms)
  {
  }

  /** Sends calls for `aTime`; returns the share of `aTraffic`'s calls that was refused.
   */
  double run(const Traffic& aTraffic, Duration aTime, Duration aCrashPeriod)
  {
    int asked = 0;
    int refused = 0;
    auto nextCrashAt = mClock.now() + aCrashPeriod;
    for (const auto end = mClock.now() + aTime; mClock.now() < end;
         mClock.advance(kStep)) {
      finishCalls();
      if (mClock.now() >= nextCrashAt) {
        nextCrashAt += aCrashPeriod;
        crash(0);
        crash(1);
      }
      for (int i = 0; i < static_cast<int>(kMaxCalls); ++i) {
        const bool isObserved =
          std::uniform_real_distribution<double>(0, 1)(mRandom) < aTraffic.share;
        if (mCalls.size() >= kMaxCalls) {
          break;
        }
        const auto request =
          isObserved ? aTraffic.request : makeDigest(1000 + mNext++ % 60000);
        asked += isObserved ? 1 : 0;
        const auto vm = std::uniform_int_distribution<std::size_t>(0, kVms - 1)(mRandom);
        if (mVms[vm].isBlocked(request, mClock.now()) &&
            !mVms[vm].tryTakeTrial(request, kVms, mClock.now(), mRandom)) {
          refused += isObserved ? 1 : 0;
          continue;
        }
        mCalls.push_back({ request,
                           vm,
                           std::uniform_int_distribution<int>(0, kUpstreams - 1)(mRandom),
                           mClock.now() + kWork });
      }
    }
    return asked == 0 ? 0.0 : static_cast<double>(refused) / asked;
  }

  test::ManualClock& clock() { return mClock; }
  SuspectList& vm(std::size_t aIndex) { return mVms[aIndex]; }

  void reportCrash(std::size_t aVm, const Digest& aRequest)
  {
    tellOthers(aVm,
               mVms[aVm].recordCrash(aRequest, std::to_string(aVm) + "#1", mClock.now()));
  }

private:
  struct RunningCall
  {
    Digest request;
    std::size_t vm = 0;
    int upstream = 0;
    Instant endsAt;
  };

  void tellOthers(std::size_t aVm, const SuspectCount& aCount)
  {
    for (std::size_t i = 0; i < mVms.size(); ++i) {
      if (i != aVm) {
        mVms[i].merge(aCount, mClock.now());
      }
    }
  }

  void finishCalls()
  {
    std::erase_if(mCalls, [this](const RunningCall& aCall) {
      if (mClock.now() < aCall.endsAt) {
        return false;
      }
      for (const auto& it : mVms[aCall.vm].recordSuccess(aCall.request, mClock.now())) {
        tellOthers(aCall.vm, it);
      }
      return true;
    });
  }

  void crash(int aUpstream)
  {
    std::erase_if(mCalls, [this, aUpstream](const RunningCall& aCall) {
      if (aCall.upstream != aUpstream) {
        return false;
      }
      reportCrash(aCall.vm, aCall.request);
      return true;
    });
  }

  std::mt19937_64 mRandom;
  test::ManualClock mClock;
  std::vector<SuspectList> mVms;
  std::vector<RunningCall> mCalls;
  int mNext = 0;
};

} // namespace

TEST_CASE("a request is blocked after two crashes, from any reporters, until they expire")
{
  SuspectList list;
  test::ManualClock time;
  const Digest request{};
  CHECK(list.recordCrash(request, "a", time.now()).crashes == 1);
  CHECK_FALSE(list.isBlocked(request, time.now()));
  CHECK(list.merge({ request, "b", 1, 0 }, time.now()));
  CHECK_FALSE(list.merge({ request, "b", 1, 0 }, time.now()));
  CHECK(list.isBlocked(request, time.now()));
  time.advance(std::chrono::hours(1));
  CHECK_FALSE(list.isBlocked(request, time.now()));
}

TEST_CASE("an old count from a peer does not revive an expired block")
{
  SuspectList list;
  test::ManualClock time;
  const Digest request{};
  list.merge({ request, "a", 2, 0 }, time.now());
  REQUIRE(list.isBlocked(request, time.now()));
  time.advance(std::chrono::hours(1));
  list.merge({ request, "a", 2, 0 }, time.now());
  CHECK_FALSE(list.isBlocked(request, time.now()));
  list.merge({ request, "a", 4, 0 }, time.now());
  CHECK(list.isBlocked(request, time.now()));
}

TEST_CASE("a request that has run to its end is cleared, here and by the others")
{
  SuspectList here;
  SuspectList there;
  test::ManualClock time;
  const Digest request{};
  for (auto* const it : { &here, &there }) {
    it->merge({ request, "a", 1, 0 }, time.now());
    it->merge({ request, "b", 1, 0 }, time.now());
    REQUIRE(it->isBlocked(request, time.now()));
  }
  const auto cleared = here.recordSuccess(request, time.now());
  REQUIRE(cleared.size() == 2);
  CHECK_FALSE(here.isBlocked(request, time.now()));
  CHECK(here.isEmpty());
  for (const auto& it : cleared) {
    CHECK(there.merge(it, time.now()));
  }
  CHECK_FALSE(there.isBlocked(request, time.now()));
  CHECK(there.isEmpty());
  // A late message with the old counts changes nothing, new crashes do.
  CHECK_FALSE(here.merge({ request, "b", 1, 0 }, time.now()));
  CHECK_FALSE(here.isBlocked(request, time.now()));
  here.recordCrash(request, "a", time.now());
  CHECK_FALSE(here.isBlocked(request, time.now()));
  here.recordCrash(request, "a", time.now());
  CHECK(here.isBlocked(request, time.now()));
}

TEST_CASE("a blocked request is tried now and then, as seldom with many processes")
{
  for (const std::size_t processes : { 1, 16, 300 }) {
    CAPTURE(processes);
    std::mt19937_64 random{ 5 };
    test::ManualClock time;
    const Digest request{};
    std::vector<SuspectList> lists(processes);
    for (auto& it : lists) {
      it.merge({ request, "a", 2, 0 }, time.now());
    }
    int trials = 0;
    for (int i = 0; i < 25 * 60; ++i) {
      for (auto& it : lists) {
        REQUIRE(it.isBlocked(request, time.now()));
        trials +=
          it.tryTakeTrial(request, static_cast<int>(processes), time.now(), random) ? 1
                                                                                    : 0;
      }
      time.advance(1s);
    }
    // Periods of 30 s and twice as long each: five end in this time.
    CHECK(trials >= 1);
    CHECK(trials <= 12);
  }
}

TEST_CASE(
  "a request that crashes each upstream is blocked everywhere at its second crash")
{
  Fleet fleet(1);
  const auto request = makeDigest(7);
  fleet.reportCrash(3, request);
  CHECK_FALSE(fleet.vm(9).isBlocked(request, fleet.clock().now()));
  fleet.reportCrash(5, request);
  for (std::size_t i = 0; i < Fleet::kVms; ++i) {
    CHECK(fleet.vm(i).isBlocked(request, fleet.clock().now()));
  }
}

TEST_CASE("a common request is served though upstreams crash while they run it")
{
  for (const double share : { 0.01, 0.1, 0.5 }) {
    CAPTURE(share);
    double worst = 0.0;
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
      Fleet fleet(seed);
      worst = std::max(worst, fleet.run({ share, makeDigest(7) }, 30s, 1s));
    }
    // Refused at most while the calls that were at work elsewhere come to their end.
    CHECK(worst < 0.05);
  }
}

TEST_CASE("a process that starts learns what counts from another")
{
  SuspectList old;
  SuspectList fresh;
  test::ManualClock time;
  old.merge({ makeDigest(1), "a", 2, 0 }, time.now());
  old.merge({ makeDigest(2), "a", 3, 3 }, time.now());
  old.merge({ makeDigest(3), "a", 1, 0 }, time.now());
  const auto counts = old.openCounts(time.now());
  CHECK(counts.size() == 2);
  for (const auto& it : counts) {
    fresh.merge(it, time.now());
  }
  CHECK(fresh.isBlocked(makeDigest(1), time.now()));
  CHECK_FALSE(fresh.isBlocked(makeDigest(2), time.now()));
  fresh.recordCrash(makeDigest(3), "b", time.now());
  CHECK(fresh.isBlocked(makeDigest(3), time.now()));
  time.advance(std::chrono::hours(1));
  CHECK(old.openCounts(time.now()).empty());
}
