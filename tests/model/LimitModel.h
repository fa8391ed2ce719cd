#pragma once

#include "LimitResult.h"
#include "LimitWay.h"
#include <algorithm>
#include <deque>

namespace masticwall::model {

/** Plays calls of many VMs for one upstream with a request limit. */
template<LimitWay W>
class LimitModel
{
public:
  explicit LimitModel(const LimitPlan& aPlan)
    : mPlan(aPlan)
    , mRandom(aPlan.seed)
    , mStart(mTime.now())
    , mWay(mTime, mPlan, mRandom)
  {
  }

  LimitResult run()
  {
    std::lognormal_distribution<double> unevenness(0.0, 1.0);
    std::vector<double> weights;
    double sum = 0.0;
    const int callers = mPlan.scenario == LimitScenario::TwoVms ? 2 : mPlan.vms;
    for (int i = 0; i < callers; ++i) {
      weights.push_back(unevenness(mRandom));
      sum += weights.back();
    }
    constexpr double kMinCallsOfLimit = 3.0; // also two VMs have more than the limit
    const auto total =
      std::max(kMinCallsOfLimit * mPlan.perSecond, mPlan.callsPerVm * callers);
    for (int i = 0; i < callers; ++i) {
      scheduleCall(i, total * weights[static_cast<std::size_t>(i)] / sum);
    }
    mTime.runUntil(mStart + seconds(LimitPlan::kSeconds));
    const auto lull = mPlan.scenario == LimitScenario::Lull ? LimitPlan::kLull : 0.0;
    const auto counted = LimitPlan::kSeconds - kStabilityWindow - lull;
    mResult.used = mCounted / (mPlan.perSecond * counted);
    return mResult;
  }

private:
  static constexpr double kStabilityWindow = 3.0;
  static constexpr double kWindow = 4.0;

  void scheduleCall(int aVm, double aPerSecond)
  {
    std::exponential_distribution<double> gap(aPerSecond);
    mTime.after(seconds(gap(mRandom)), [this, aVm, aPerSecond] {
      const auto now = mTime.now();
      const bool isLull = mPlan.scenario == LimitScenario::Lull &&
                          now < mStart + seconds(LimitPlan::kMiddle) &&
                          now >= mStart + seconds(LimitPlan::kMiddle - LimitPlan::kLull);
      if (!isLull && mPlan.isRunning(aVm, now, mStart)) {
        mWay.call(aVm, [this] { onSent(); });
      }
      scheduleCall(aVm, aPerSecond);
    });
  }

  void onSent()
  {
    const auto now = mTime.now();
    if (now < mStart + seconds(kStabilityWindow)) {
      return;
    }
    mCounted += 1.0;
    mSent.push_back(now);
    while (mSent.front() < now - seconds(kWindow)) {
      mSent.pop_front();
    }
    mResult.worstWindow = std::max(mResult.worstWindow, static_cast<int>(mSent.size()));
  }

  const LimitPlan mPlan;
  std::mt19937_64 mRandom;
  VirtualTime mTime;
  Instant mStart;
  W mWay;
  std::deque<Instant> mSent; ///< within kWindow
  double mCounted = 0.0;
  LimitResult mResult;
};

} // namespace masticwall::model
