#pragma once

#include <core/RandomSource.h>
#include <core/Rank.h>
#include <core/Time.h>

namespace masticwall {

/**
 * The times after which the caller of a refused call is told to come back. Each caller
 * gets a random one.
 *
 * The load that this answers: a flood of calls that have time. If all came back after the
 * same short time, they would meet the same full slots and be refused again. Spread over
 * the time in which they can still be served within their target, they find slots as
 * these become free. Calls that have little time left come back soon.
 */
struct RetryAfterRange
{
  Duration min = std::chrono::milliseconds(50);
  Duration max = std::chrono::milliseconds(250);

  /**
   * `aTimeLeft`: until the call's deadline; callers wait for a third of it at most.
   * `aTimeToTarget`: until its latency target. `aProcessingTime`: expected, of the call.
   */
  static RetryAfterRange of(Duration aTimeLeft,
                            Duration aTimeToTarget,
                            Duration aProcessingTime);

  /**
   * For a call that was refused as no upstream accepts requests before `aHoldOff` has
   * passed. Callers of urgent calls come back first. A caller that can't wait so long
   * comes back as late as it can.
   */
  static RetryAfterRange afterHoldOff(Duration aTimeLeft, Duration aHoldOff, Rank aRank);

  template<RandomSource R>
  Duration draw(R& aRandom) const
  {
    std::uniform_int_distribution<Duration::rep> ticks(min.count(), max.count());
    return Duration(ticks(aRandom));
  }
};

} // namespace masticwall
