#pragma once

#include "LimitWay.h"
#include "ShareCredit.h"

namespace masticwall::model {

/** Each VM has an equal share, starting at a random fraction of a request. */
class EqualShareWay
{
public:
  EqualShareWay(VirtualTime& aTime, const LimitPlan& aPlan, std::mt19937_64& aRandom)
    : mTime(aTime)
  {
    std::uniform_real_distribution<double> phase(0.0, 1.0);
    for (int i = 0; i < aPlan.vms; ++i) {
      mCredits.emplace_back(aTime.now(), aPlan.perSecond / aPlan.vms, phase(aRandom));
    }
  }

  void call(int aVm, const std::function<void()>& aSend)
  {
    if (mCredits[static_cast<std::size_t>(aVm)].tryTake(mTime.now())) {
      aSend();
    }
  }

private:
  VirtualTime& mTime;
  std::vector<ShareCredit> mCredits; ///< by VM
};

static_assert(LimitWay<EqualShareWay>);

} // namespace masticwall::model
