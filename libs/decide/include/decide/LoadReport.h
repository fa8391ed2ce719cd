#pragma once

#include <core/Time.h>

namespace masticwall {

/** What an upstream said of its own load; always older than the load itself. */
struct LoadReport
{
  int inUse = 0;  ///< slots in use
  int queued = 0; ///< calls waiting at the upstream
  Instant at;     ///< when the report arrived here
};

} // namespace masticwall
