#pragma once

#include <decide/LoadReport.h>
#include <decide/PermitStock.h>
#include <decide/RequestLimit.h>
#include <decide/UpstreamAddress.h>
#include <optional>

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
  Instant slowStartAt;    ///< when it was first listed, or its last hold-off ended
  Instant heldOffUntil;   ///< as it asked for with a refusal; see HoldOffs
  bool leaving = false;
  bool evacuated = false;                   ///< its data centre is
  std::optional<RequestLimit> requestLimit; ///< empty: it takes any number
  PermitStock permits; ///< of this process, for requests within `requestLimit`

  bool hasReported() const { return load.receivedAt != Instant{}; }

  /** False for an upstream that leaves, is evacuated or held off: it gets no calls, trial
   * calls or load queries, even if no other is eligible. */
  bool isOpen(Instant aNow) const { return isInUse() && heldOffUntil <= aNow; }

  /** False for an upstream that leaves or is evacuated. */
  bool isInUse() const { return !leaving && !evacuated; }

  /** Whether a request may be sent now: the upstream is open, and takes any number of
   * requests or a permit is left. */
  bool acceptsRequests(Instant aNow) const
  {
    return isOpen(aNow) && (!requestLimit.has_value() || !permits.isEmpty(aNow));
  }

  /** Whether requests wait for a permit, which may be requested now. */
  bool mayRequestPermit(Rank aRank, Instant aNow) const
  {
    return isOpen(aNow) && requestLimit.has_value() && permits.isEmpty(aNow) &&
           permits.nextRequestAt(aRank) <= aNow;
  }
};

} // namespace masticwall
