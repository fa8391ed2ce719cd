#pragma once

#include <core/Time.h>

namespace masticwall {

/**
 * The highest estimated latency at which an upstream may still be selected for a call.
 * The distance penalty of the estimate does not count towards either limit. The limit on
 * queueing keeps calls from delaying more urgent ones behind them.
 */
struct LatencyLimit
{
  Duration whole = Duration::max(); ///< queueing and processing together
  Duration wait = Duration::max();  ///< queueing alone
};

} // namespace masticwall
