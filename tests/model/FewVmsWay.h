#pragma once

#include "LimitWay.h"
#include "ShareCredit.h"
#include <numeric>

namespace masticwall::model {

/** The upstream belongs to few VMs, more for a higher limit; the others don't use it. */
class FewVmsWay
{
public:
  FewVmsWay(VirtualTime& aTime, const LimitPlan& aPlan, std::mt19937_64& aRandom)
    : mTime(aTime)
  {
    constexpr double kPerOwner = 5.0;
    const auto owners =
      std::clamp(static_cast<int>(aPlan.perSecond / kPerOwner), 1, aPlan.vms);
    std::vector<int> vms(static_cast<std::size_t>(aPlan.vms));
    std::iota(vms.begin(), vms.end(), 0);
    std::shuffle(vms.begin(), vms.end(), aRandom);
    for (int i = 0; i < owners; ++i) {
      mOwners.push_back(vms[static_cast<std::size_t>(i)]);
      mCredits.emplace_back(aTime.now(), aPlan.perSecond / owners, 0.0);
    }
  }

  void call(int aVm, const std::function<void()>& aSend)
  {
    const auto it = std::find(mOwners.begin(), mOwners.end(), aVm);
    if (it != mOwners.end() &&
        mCredits[static_cast<std::size_t>(it - mOwners.begin())].tryTake(mTime.now())) {
      aSend();
    }
  }

private:
  VirtualTime& mTime;
  std::vector<int> mOwners;
  std::vector<ShareCredit> mCredits; ///< by index in mOwners
};

static_assert(LimitWay<FewVmsWay>);

} // namespace masticwall::model
