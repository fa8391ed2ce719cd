#pragma once

#include <core/Time.h>
#include <decide/HedgePolicy.h>
#include <optional>
#include <vector>

namespace masticwall {

/**
 * How long a call waits for its response before it gets a hedge, from the recent
 * latencies of its route in this worker. Not thread-safe.
 *
 * The load that this answers: latencies with a long tail, which differ from route to
 * route and shift within minutes. The delay is the quantile that about the operator's
 * share of the calls exceeds; it is shorter if a hedge could then no longer meet the
 * route's target, but never below the median, as most calls end by then on their own.
 */
class HedgeDelay
{
public:
  /** Adds the time that an upstream took to respond, from when the call was sent. */
  void record(Duration aLatency);

  /** The delay; empty while there are too few samples. `aTarget`: of the route, from when
   * the call was sent; 0: none. */
  std::optional<Duration> after(const HedgePolicy& aPolicy, Duration aTarget);

  /** The median of the recent latencies; zero without samples. */
  Duration median();

private:
  /** The latency that the part `aPart` of the samples does not exceed. */
  Duration quantile(double aPart);
  void sortIfNeeded();

  std::vector<Duration> mSamples; ///< a ring, in the order of arrival
  std::size_t mNext = 0;          ///< index in the ring of the next sample
  std::vector<Duration> mSorted;
  bool mIsSorted = true;
};

} // namespace masticwall
