#pragma once

#include <algorithm>
#include <array>
#include <core/Time.h>

namespace masticwall {

/**
 * The retries that one worker may still send to one service. Calls earn fractions of a
 * retry. What was earned recently is always kept; what is older is kept up to the burst.
 *
 * The load that this answers: many processes with few calls each, whose shares of a
 * common budget are below one retry. Each process starts with a different fraction of a
 * retry, its phase, so that whole retries become available at different times, and the
 * sum over many processes is close to the sum of their fractions. Not thread-safe.
 */
class RetryCredit
{
public:
  /** Recent credit is that of the current period and of the last kRecentPeriods ones. */
  static constexpr Duration kPeriod = std::chrono::milliseconds(500);
  static constexpr std::size_t kRecentPeriods = 4;

  /**
   * `aBurst`: maximum of older credit, in retries. `aInitial`: older credit at the start.
   * `aPhase`: a random number from 0 up to 1, excluding 1.
   */
  RetryCredit(double aBurst, double aInitial, double aPhase)
    : mBurst(aBurst)
    , mPhase(aPhase)
    , mOlder(std::min(aInitial, aBurst) + aPhase)
  {
  }

  /** Changes the burst; older credit beyond it is lost. */
  void setBurst(double aBurst);

  /** Adds `aRetries`, which may be a fraction. */
  void earn(double aRetries, Instant aNow);

  /** Consumes one retry; false if there is less than that. */
  bool tryConsume(Instant aNow);

private:
  static constexpr std::size_t kPeriods = kRecentPeriods + 1;

  /** Adds what was earned in periods that are no longer recent to the older credit. */
  void advance(Instant aNow);
  void addOlder(double aRetries);

  double mBurst; ///< in retries
  double mPhase; ///< in retries; part of the older credit's limit
  double mOlder; ///< in retries
  std::array<double, kPeriods> mRecent{}; ///< by period, in retries; the newest first
  Instant mPeriodStart;                   ///< of the newest period; Instant{}: none yet
};

} // namespace masticwall
