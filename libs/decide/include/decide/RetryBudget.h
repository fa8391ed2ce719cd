#pragma once

#include <decide/TokenBucket.h>
#include <string>
#include <unordered_map>

namespace masticwall {

/**
 * Limits the retries of each service to a fraction of its calls, plus a small burst.
 * Every instance counts only its own calls, so the total stays within the fraction
 * whatever the number of processes. Not thread-safe.
 */
class RetryBudget
{
public:
  /** `aShare`: retries allowed for each call; `aBurst`: retries beyond them. */
  void configure(double aShare, double aBurst)
  {
    mShare = aShare;
    mBurst = aBurst;
    for (auto& [service, bucket] : mBuckets) {
      bucket.configure(0.0, aBurst);
    }
  }

  /** Counts a new call for `aService`; a retry does not count. */
  void recordCall(const std::string& aService) { bucketOf(aService).put(mShare); }

  /** Consumes one retry; false if the budget is exhausted. */
  bool take(const std::string& aService, Instant aNow)
  {
    return bucketOf(aService).take(1.0, aNow);
  }

private:
  TokenBucket& bucketOf(const std::string& aService)
  {
    return mBuckets.try_emplace(aService, 0.0, mBurst).first->second;
  }

  double mShare = 0.0;
  double mBurst = 0.0;
  std::unordered_map<std::string, TokenBucket> mBuckets;
};

} // namespace masticwall
