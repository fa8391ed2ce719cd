#pragma once

#include <decide/LoadReport.h>
#include <decide/UpstreamAddress.h>

namespace masticwall {

/** The load balancing state that one entry process keeps for one upstream. */
struct UpstreamState
{
  UpstreamAddress address;
  int slots = 1;             ///< calls that it runs concurrently
  int inFlight = 0;          ///< calls from this process
  LoadReport load;           ///< the last one received
  double meanLoad = 0.0;     ///< moving average of reported calls per slot
  Duration meanLatency{ 0 }; ///< moving average
  int latencySamples = 0;    ///< samples in `meanLatency`
  Instant nextTrialAt;       ///< no call before then while it is slow; see UpstreamPool
  int failuresInARow = 0; ///< of attempts (5xx too) and load queries; reset by Answered
  Instant backOffUntil;   ///< used until then only if no other is eligible; set after
                          ///< failures and shedding
  Instant firstSeenAt;    ///< when this instance was first listed; starts its slow start
  bool leaving = false;   ///< gets no new calls
};

} // namespace masticwall
