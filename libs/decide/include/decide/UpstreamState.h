#pragma once

#include <decide/LoadReport.h>
#include <decide/UpstreamAddress.h>

namespace masticwall {

/** What one entry process knows of one upstream. */
struct UpstreamState
{
  UpstreamAddress address;
  int slots = 1;
  int inFlight = 0; ///< calls from this process
  LoadReport load;
  double meanLoad = 0.0; ///< running mean of reported calls over slots
  Duration meanLatency{ 0 };
  int samples = 0; ///< latencies in the mean
  Instant trialAt; ///< while slow: when it may be given one call again
  int failuresInARow = 0;
  Instant backOffUntil; ///< no call before; set after failures and shedding
  Instant seenSince;    ///< when this instance was first seen
  bool leaving = false;
};

} // namespace masticwall
