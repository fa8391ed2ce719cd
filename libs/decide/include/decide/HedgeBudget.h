#pragma once

#include <decide/HedgePolicy.h>
#include <decide/RetryBudget.h>

namespace masticwall {

/**
 * Limits the hedges that one worker sends to each service, so that those of all VMs stay
 * within the operator's share of the service's calls; see RetryBudget. Not thread-safe.
 */
class HedgeBudget
{
public:
  /** `aEntries` listed entry processes with `aWorkers` workers each share the limit. */
  void configure(const HedgePolicy& aPolicy, int aEntries, int aWorkers)
  {
    Limits limits;
    limits.retryBudget = aPolicy.share;
    limits.retryBurst = 0.0;
    limits.areSharedByAllVms = true;
    mBudget.configure(RetryAllowance::of(limits, aEntries, aWorkers));
  }

  /** Counts a new call for `aService`; `aRandom` gives the phase of its first one. */
  template<RandomSource R>
  void recordCall(const std::string& aService, Instant aNow, R& aRandom)
  {
    mBudget.recordCall(aService, aNow, aRandom);
  }

  /** Consumes one hedge; false if the share is used up. */
  bool tryConsume(const std::string& aService, Instant aNow)
  {
    return mBudget.tryConsume(aService, aNow);
  }

private:
  RetryBudget mBudget;
};

} // namespace masticwall
