#pragma once

#include <core/Time.h>
#include <decide/Preset.h>
#include <string>

namespace masticwall {

/**
 * Limits of the estimated latency: an upstream is not selected for a call if its estimate
 * exceeds either of them. The distance penalty of the estimate does not count.
 *
 * The load that this answers: a flood. A call that would end far beyond its latency
 * target is refused, so that another can use the slot. The limit on queueing keeps calls
 * from delaying more urgent ones that are queued behind them.
 *
 * While upstreams of the service have request limits, the others take their calls as
 * well. Then a call that would end beyond its target is refused too, instead of filling
 * their queues: its caller may find a faster one a moment later.
 */
struct LatencyLimit
{
  Duration maxTotal = Duration::max();          ///< of queueing and processing together
  Duration maxQueueing = Duration::max();       ///< of queueing alone
  Duration maxTotalIfLimited = Duration::max(); ///< `maxTotal`, with request limits

  /** The limit at `aNow` for a call of `aRank` to `aService` that arrived at
   * `aArrivedAt`. */
  static LatencyLimit of(const Preset& aPreset,
                         const Route& aRoute,
                         Rank aRank,
                         const std::string& aService,
                         Instant aArrivedAt,
                         Instant aDeadline,
                         Instant aNow);
};

} // namespace masticwall
