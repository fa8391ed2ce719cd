#pragma once

#include <decide/TokenBucket.h>
#include <string>
#include <unordered_map>

namespace masticwall {

/**
 * Bounds retries by service: a share of the calls that arrived for it, and a small
 * burst. Each process keeps its own, so that the sum over all stays within the share
 * whatever their number. Not thread-safe.
 */
class RetryBudget
{
public:
  /** Sets the share of calls and the burst of each service. */
  void configure(double aShare, double aBurst)
  {
    mShare = aShare;
    mBurst = aBurst;
    for (auto& [service, bucket] : mBuckets) {
      bucket.configure(0.0, aBurst);
    }
  }

  /** A call for `aService` arrived. */
  void noteCall(const std::string& aService) { bucketOf(aService).put(mShare); }

  /** Takes a retry; false if the budget has none left. */
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
