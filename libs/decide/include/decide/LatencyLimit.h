#pragma once

#include <core/Time.h>

namespace masticwall {

/** How long a call may be expected to take where it is sent. */
struct LatencyLimit
{
  Duration whole = Duration::max(); ///< to its answer
  Duration wait = Duration::max();  ///< for a slot, so as not to hold up urgent calls
};

} // namespace masticwall
