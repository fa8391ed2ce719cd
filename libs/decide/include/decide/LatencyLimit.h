#pragma once

#include <core/Time.h>

namespace masticwall {

/**
 * Limits of the estimated latency: an upstream is not selected for a call if its estimate
 * exceeds either of them. The distance penalty of the estimate does not count. The limit
 * on queueing keeps calls from delaying more urgent ones that are queued behind them.
 */
struct LatencyLimit
{
  Duration maxTotal = Duration::max();    ///< of queueing and processing together
  Duration maxQueueing = Duration::max(); ///< of queueing alone
};

} // namespace masticwall
