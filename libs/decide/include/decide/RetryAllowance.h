#pragma once

#include <decide/Limits.h>

namespace masticwall {

/** The part of a preset's retry limits that one worker may use, for each service. */
struct RetryAllowance
{
  double perCall = 0.0; ///< retries earned by each call
  double burst = 0.0;   ///< retries kept beyond those earned recently
  double initial = 0.0; ///< retries available at the start
  bool isShare = false; ///< of limits that all VMs share; `burst` may be below 1

  /**
   * The allowance of each of `aWorkers` workers in each of `aEntries` listed entry
   * processes. Counts below 1 count as 1; negative limits count as 0.
   *
   * Where all VMs share the limits, the retries of all workers stay within them over any
   * period of at least kMinBudgetPeriod, also while processes restart or up to as many
   * again run as are listed. This holds for the expected sum over the random phases of
   * RetryCredit, and in the worst case up to one retry more for each worker.
   */
  static RetryAllowance of(const Limits& aLimits, int aEntries, int aWorkers);

  /** The shortest period over which limits that all VMs share hold. */
  static constexpr Duration kMinBudgetPeriod = std::chrono::seconds(10);
};

} // namespace masticwall
