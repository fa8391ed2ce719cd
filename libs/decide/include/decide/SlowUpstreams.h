#pragma once

#include <decide/UpstreamStates.h>

namespace masticwall {

/**
 * Detects the upstreams of a service that are slow, by the latencies of its calls. Not
 * thread-safe.
 *
 * The load that this answers: upstreams that respond several times as slowly as the
 * others, for seconds or for good. They get a trial call now and then, which shows when
 * they have recovered.
 */
class SlowUpstreams
{
public:
  /**
   * Adds a sample to the upstream's mean latency. The first sample, and the first one of
   * a slow upstream that is no longer slow, replace the mean.
   */
  void recordLatency(UpstreamState& aState,
                     Duration aLatency,
                     const UpstreamStates& aStates);

  /** Whether the mean latency far exceeds the median of the upstreams. */
  bool isSlow(const UpstreamState& aState) const;

  /** Whether the upstream is slow and gets no call before its next trial. */
  bool isBetweenTrials(const UpstreamState& aState, Instant aNow) const;

  /** A call is sent: if the upstream is slow, bars further ones until its next trial. */
  void scheduleNextTrial(UpstreamState& aState, Instant aNow) const;

  /** Median of the upstreams' mean latencies; a default while too few have samples. */
  Duration typicalProcessingTime() const;

private:
  void updateMedianLatency(const UpstreamStates& aStates);

  Duration mMedianLatency{ 0 }; ///< 0: too few samples
};

} // namespace masticwall
