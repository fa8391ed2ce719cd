#pragma once

#include <core/Time.h>

namespace masticwall {

/** The load that an upstream reported; it may have changed since then. */
struct LoadReport
{
  int inUse = 0;                   ///< slots in use
  int queued = 0;                  ///< calls queued at the upstream
  Instant receivedAt;              ///< when this process received the report
  int slots = 0;                   ///< calls that it runs concurrently; 0: not reported
  int processingTimePercent = 100; ///< processing time, in percent of the normal one;
                                   ///< 100 if not reported
};

} // namespace masticwall
