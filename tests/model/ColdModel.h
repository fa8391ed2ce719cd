#pragma once

#include "ColdPlan.h"
#include "ColdResult.h"
#include "PermitWay.h"
#include <algorithm>
#include <deque>

namespace masticwall::model {

/**
 * Plays an upstream that becomes cold while it gets calls: each VM learns it with the
 * first load query that it sends, or from the list.
 */
class ColdModel
{
public:
  explicit ColdModel(const ColdPlan& aPlan)
    : mPlan(aPlan)
    , mRandom(aPlan.seed)
    , mStart(mTime.now())
    , mWay(mTime, mPlan, mRandom)
  {
  }

  ColdResult run()
  {
    std::lognormal_distribution<double> unevenness(0.0, 1.0);
    std::uniform_real_distribution<double> lag(0.0, ColdPlan::kMaxListLag);
    std::vector<double> weights;
    double sum = 0.0;
    for (int i = 0; i < mPlan.vms; ++i) {
      weights.push_back(unevenness(mRandom));
      sum += weights.back();
      mKnownAt.push_back(coldAt() + seconds(lag(mRandom)));
    }
    for (int i = 0; i < mPlan.vms; ++i) {
      scheduleCall(i, mPlan.offered * weights[static_cast<std::size_t>(i)] / sum);
    }
    mTime.runUntil(mStart + seconds(ColdPlan::kSeconds));
    mResult.used =
      mSentCold / (mPlan.perSecond * (ColdPlan::kSeconds - ColdPlan::kColdAt));
    return mResult;
  }

private:
  Instant coldAt() const { return mStart + seconds(ColdPlan::kColdAt); }

  bool draw(double aProbability)
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom) < aProbability;
  }

  void scheduleCall(int aVm, double aPerSecond)
  {
    std::exponential_distribution<double> gap(aPerSecond);
    mTime.after(seconds(gap(mRandom)), [this, aVm, aPerSecond] {
      if (mPlan.isRunning(aVm, mTime.now(), mStart)) {
        call(aVm);
      }
      scheduleCall(aVm, aPerSecond);
    });
  }

  void call(int aVm)
  {
    const auto now = mTime.now();
    auto& knownAt = mKnownAt[static_cast<std::size_t>(aVm)];
    if (now < knownAt) {
      if (!draw(mPlan.warmPerSecond / mPlan.offered)) {
        return; // another upstream is better
      }
      if (now < coldAt() || draw(mPlan.blindShare)) {
        mResult.uninformed += now < coldAt() ? 0 : 1;
        onSent();
        return;
      }
      knownAt = now;
    }
    if (now >= knownAt + ColdPlan::kPause) {
      mWay.call(aVm, [this, aVm] { send(aVm); });
    }
  }

  /** A VM that is stopped sends what it has a permit for when it goes on. */
  void send(int aVm)
  {
    const auto now = mTime.now();
    const auto at = mPlan.runsAgainAt(aVm, now, mStart);
    mTime.after(at - now, [this] { onSent(); });
  }

  void onSent()
  {
    const auto now = mTime.now();
    if (now < coldAt()) {
      return;
    }
    mSentCold += 1.0;
    mSent.push_back(now);
    while (mSent.front() <= now - std::chrono::seconds(1)) {
      mSent.pop_front();
    }
    const auto n = static_cast<int>(mSent.size());
    mResult.worstSecond = std::max(mResult.worstSecond, n);
    if (now < coldAt() + std::chrono::seconds(2)) {
      mResult.firstSecond = std::max(mResult.firstSecond, n);
    }
  }

  const ColdPlan mPlan;
  std::mt19937_64 mRandom;
  VirtualTime mTime;
  Instant mStart;
  PermitWayOf<ColdPlan> mWay;
  std::vector<Instant> mKnownAt; ///< by VM
  std::deque<Instant> mSent;     ///< within a second
  double mSentCold = 0.0;
  ColdResult mResult;
};

} // namespace masticwall::model
