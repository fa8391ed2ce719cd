#pragma once

#include <decide/UpstreamStates.h>

namespace masticwall {

/**
 * Detects the upstreams of a service that are slow, by the latencies of its calls, and
 * says how long a call takes. Not thread-safe.
 *
 * The load that this answers: upstreams that respond several times as slowly as the
 * others, for seconds or for good. They get a trial call now and then, which shows when
 * they have recovered. Failed attempts count for how slow an upstream is, as one that
 * answers nothing must be avoided; how long a call takes is known from answers alone, as
 * otherwise a time in which all attempts fail would be taken for overload.
 */
class SlowUpstreams
{
public:
  SlowUpstreams();

  /**
   * Adds the latency of an answered call to the upstream's means. The first sample, and
   * the first one of a slow upstream that is no longer slow, replace a mean.
   */
  void recordAnswer(UpstreamState& aState,
                    Duration aLatency,
                    const UpstreamStates& aStates);

  /** Adds the time of a failed attempt to the mean that says whether the upstream is
   * slow. */
  void recordFailure(UpstreamState& aState,
                     Duration aLatency,
                     const UpstreamStates& aStates);

  /**
   * A call was answered that was sent as a trial, beyond its limit; see OverloadTrials:
   * from now on calls to any upstream are expected to take no longer than this one.
   */
  void recordTrialAnswer(Duration aLatency, const UpstreamStates& aStates);

  /** Whether the mean latency far exceeds the median of the upstreams. */
  bool isSlow(const UpstreamState& aState) const;

  /** Whether the upstream is slow and gets no call before its next trial. */
  bool isBetweenTrials(const UpstreamState& aState, Instant aNow) const;

  /** A call is sent: if the upstream is slow, bars further ones until its next trial. */
  void scheduleNextTrial(UpstreamState& aState, Instant aNow) const;

  /** Median of the upstreams' mean latencies of answered calls; a default while too few
   * have samples. */
  Duration typicalProcessingTime() const;

private:
  void updateMedians(const UpstreamStates& aStates);

  Duration mMedianLatency{ 0 };       ///< 0: too few samples
  Duration mMedianAnswerLatency{ 0 }; ///< of answered calls alone; 0: too few samples
  Duration mDefaultProcessingTime;    ///< used while too few upstreams have samples
};

} // namespace masticwall
