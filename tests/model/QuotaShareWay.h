#pragma once

#include "DemandShareWay.h"
#include "EqualShareWay.h"
#include "QuotaWay.h"

namespace masticwall::model {

/** Shares of a quota, in the ways that share an upstream's request limit. */
template<LimitWay W>
class QuotaShareWay
{
public:
  QuotaShareWay(VirtualTime& aTime, const QuotaPlan& aPlan, std::mt19937_64& aRandom)
    : mPlan{ LimitScenario::Steady, aPlan.vms, aPlan.perSecond }
    , mWay(aTime, mPlan, aRandom)
  {
  }

  void call(int aVm, const std::function<void()>& aSend) { mWay.call(aVm, aSend); }
  int issuer() const { return 0; }
  double messages() const { return 0.0; }
  double busiest() const { return 0.0; }

private:
  const LimitPlan mPlan;
  W mWay;
};

static_assert(QuotaWay<QuotaShareWay<EqualShareWay>>);

} // namespace masticwall::model
