#pragma once

#include <decide/TokenBucket.h>
#include <string>
#include <unordered_map>

namespace masticwall {

/**
 * Limits the retries of each service to a ratio of its calls, plus a small burst. Every
 * worker has its own budget and counts only its own calls, so the total stays within the
 * ratio whatever the number of processes. Not thread-safe.
 */
class RetryBudget
{
public:
  /**
   * `aRatio`: retries earned by each call; `aBurst`: maximum of saved-up retries, all
   * available from the start; below 1, no retry is ever allowed.
   */
  void configure(double aRatio, double aBurst)
  {
    mRatio = aRatio;
    mBurst = aBurst;
    for (auto& [service, bucket] : mBuckets) {
      bucket.configure(0.0, aBurst);
    }
  }

  /** Counts a new call for `aService`; a retry does not count. */
  void recordCall(const std::string& aService) { bucketOf(aService).add(mRatio); }

  /** Consumes one retry; false if the budget is exhausted. */
  bool tryConsume(const std::string& aService, Instant aNow)
  {
    return bucketOf(aService).tryConsume(1.0, aNow);
  }

private:
  TokenBucket& bucketOf(const std::string& aService)
  {
    return mBuckets.try_emplace(aService, 0.0, mBurst).first->second;
  }

  double mRatio = 0.0;                                   ///< retries per call
  double mBurst = 0.0;                                   ///< retries
  std::unordered_map<std::string, TokenBucket> mBuckets; ///< by service; in retries
};

} // namespace masticwall
