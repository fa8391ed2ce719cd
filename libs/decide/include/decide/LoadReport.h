#pragma once

#include <core/Time.h>

namespace masticwall {

/** What an upstream said of its own load; always older than the load itself. */
struct LoadReport
{
  int inUse = 0;         ///< slots in use
  int queued = 0;        ///< calls waiting at the upstream
  Instant at;            ///< when the report arrived here
  int slots = 0;         ///< calls that it runs at a time; 0: not told
  int workPercent = 100; ///< how long work takes there now; 100: as usual
};

} // namespace masticwall
