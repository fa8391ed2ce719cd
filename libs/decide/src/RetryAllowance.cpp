#include <algorithm>
#include <decide/RetryAllowance.h>
#include <decide/RetryCredit.h>

namespace masticwall {

namespace {

/** The burst is divided by this multiple of the listed processes: as many again may have
 * been added without being listed yet. */
constexpr int kUnlistedMargin = 2;

/** Part of the ratio that each call earns: recent credit may be consumed together with
 * what the following kMinBudgetPeriod earns, and the sum must stay within the ratio. */
constexpr double kSharedRatioPart =
  std::chrono::duration<double>(RetryAllowance::kMinBudgetPeriod) /
  (RetryAllowance::kMinBudgetPeriod +
   RetryCredit::kPeriod * (RetryCredit::kRecentPeriods + 1));

} // namespace

RetryAllowance
RetryAllowance::of(const Limits& aLimits, int aEntries, int aWorkers)
{
  const auto ratio = std::max(0.0, aLimits.retryBudget);
  const auto workers = std::max(1, aWorkers);
  const auto burst = std::max(0.0, aLimits.retryBurst) / workers;
  if (!aLimits.areSharedByAllVms) {
    return { ratio, burst, burst, false };
  }
  // Nothing at the start, as many processes may start at the same time, before they know
  // of each other.
  return {
    ratio * kSharedRatioPart, burst / (kUnlistedMargin * std::max(1, aEntries)), 0.0, true
  };
}

} // namespace masticwall
