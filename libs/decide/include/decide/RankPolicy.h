#pragma once

#include <core/Time.h>

namespace masticwall {

/** What a preset promises to one rank. */
struct RankPolicy
{
  Duration target{ 1s }; ///< longest wait for a start before the call is refused
  double floor = 0.0;    ///< share of starts kept for the rank in a flood, 0 to 1
  double worth = 1.0;    ///< worth of one answered call, in the operator's unit
};

} // namespace masticwall
