#pragma once

#include <core/RandomSource.h>
#include <decide/RetryAllowance.h>
#include <decide/RetryCredit.h>
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
  /** Credit that was already earned is kept, up to the new burst. */
  void configure(const RetryAllowance& aAllowance)
  {
    mAllowance = aAllowance;
    for (auto& [service, credit] : mCredits) {
      credit.setBurst(aAllowance.burst);
    }
  }

  /**
   * Counts a new call for `aService`; a retry does not count. `aRandom` gives the phase
   * of a service's first call.
   */
  template<RandomSource R>
  void recordCall(const std::string& aService, Instant aNow, R& aRandom)
  {
    auto it = mCredits.find(aService);
    if (it == mCredits.end()) {
      std::uniform_real_distribution<double> distribution(0.0, 1.0);
      const auto phase = mAllowance.isShare ? distribution(aRandom) : 0.0;
      it =
        mCredits.try_emplace(aService, mAllowance.burst, mAllowance.initial, phase).first;
    }
    it->second.earn(mAllowance.perCall, aNow);
  }

  /** Consumes one retry; false if the budget is exhausted or the service has no calls. */
  bool tryConsume(const std::string& aService, Instant aNow)
  {
    const auto it = mCredits.find(aService);
    return it != mCredits.end() && it->second.tryConsume(aNow);
  }

private:
  RetryAllowance mAllowance;
  std::unordered_map<std::string, RetryCredit> mCredits; ///< by service
};

} // namespace masticwall
