#pragma once

#include "LimitWay.h"
#include "ShareCredit.h"
#include <numeric>

namespace masticwall::model {

/**
 * Each VM has a share by its calls, which VMs exchange over their feeds: what counted in
 * one period is in force two periods later. VMs without peers keep their last share.
 */
class DemandShareWay
{
public:
  DemandShareWay(VirtualTime& aTime, const LimitPlan& aPlan, std::mt19937_64& aRandom)
    : mTime(aTime)
    , mPlan(aPlan)
    , mCounts(static_cast<std::size_t>(aPlan.vms))
  {
    std::uniform_real_distribution<double> phase(0.0, 1.0);
    for (int i = 0; i < aPlan.vms; ++i) {
      mCredits.emplace_back(aTime.now(), aPlan.perSecond / aPlan.vms, phase(aRandom));
    }
    scheduleExchange();
  }

  void call(int aVm, const std::function<void()>& aSend)
  {
    const auto i = static_cast<std::size_t>(aVm);
    mCounts[i] += 1.0;
    if (mCredits[i].tryTake(mTime.now())) {
      aSend();
    }
  }

private:
  void scheduleExchange()
  {
    mTime.after(kPeriod, [this] {
      const auto counts = mCounts;
      std::fill(mCounts.begin(), mCounts.end(), 0.0);
      mTime.after(kPeriod, [this, counts] { apply(counts); });
      scheduleExchange();
    });
  }

  void apply(const std::vector<double>& aCounts)
  {
    const auto sum = std::accumulate(aCounts.begin(), aCounts.end(), 0.0);
    for (std::size_t i = 0; i < aCounts.size(); ++i) {
      if (sum > 0.0 && mPlan.reachesPeers(static_cast<int>(i))) {
        mCredits[i].setRate(mPlan.perSecond * aCounts[i] / sum, mTime.now());
      }
    }
  }

  static constexpr Duration kPeriod = std::chrono::milliseconds(1000);

  VirtualTime& mTime;
  const LimitPlan& mPlan;
  std::vector<double> mCounts; ///< calls in this period, by VM
  std::vector<ShareCredit> mCredits;
};

static_assert(LimitWay<DemandShareWay>);

} // namespace masticwall::model
