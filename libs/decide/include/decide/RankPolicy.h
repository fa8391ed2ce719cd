#pragma once

#include <core/Time.h>

namespace masticwall {

/** The admission policy of one rank, as a preset sets it. */
struct RankPolicy
{
  Duration target{ 1s }; ///< max time in the queue; calls are refused beyond it
  double floor = 0.0;    ///< fraction of starts guaranteed under overload, 0 to 1
  double worth = 1.0;    ///< value of an answered call, in the operator's unit
};

} // namespace masticwall
