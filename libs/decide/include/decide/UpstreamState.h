#pragma once

#include <decide/LoadReport.h>
#include <decide/MeanLatency.h>
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
  MeanLatency latency;       ///< of answered and failed attempts; says whether it is slow
  MeanLatency answerLatency; ///< of answered ones alone
  bool isOnTrial = false;    ///< a call was sent beyond its limit; see OverloadTrials
  Instant nextTrialAt;       ///< no call before then while it is slow; see UpstreamPool
  int failuresInARow = 0; ///< of attempts (5xx too) and load queries; reset by Answered
  Instant backOffUntil;   ///< used until then only if no other is eligible; set after
                          ///< failures and shedding
  Instant slowStartAt;    ///< when it was first listed, or its last hold-off ended
  Instant heldOffUntil;   ///< as it asked for with a refusal; see HoldOffs
  bool leaving = false;
  bool evacuated = false;                   ///< its data centre is
  std::optional<RequestLimit> requestLimit; ///< empty: it takes any number
  double warmUpPerSecond = 0.0; ///< requests that it takes from all VMs while it is cold
  Instant coldUntil;            ///< it is cold until then; see ColdUpstreams
  Instant healthAt;             ///< of its last health response, if that counts for it
  PermitStock permits;          ///< of this process, for requests within limitAt()

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
    return isOpen(aNow) && (!limitAt(aNow).has_value() || !permits.isEmpty(aNow));
  }

  /** Whether a load query may be sent now: it counts for the limit that the upstream
   * states, and not for the one of its warm-up. */
  bool acceptsLoadQueries(Instant aNow) const
  {
    return isOpen(aNow) && !requestLimit.has_value();
  }

  /** Whether it is cold, in a service that limits requests meanwhile. */
  bool isCold(Instant aNow) const { return coldUntil > aNow; }

  /** The lower one of the limits that the upstream states and of its warm-up. */
  std::optional<RequestLimit> limitAt(Instant aNow) const
  {
    const bool isStatedLower =
      requestLimit.has_value() && requestLimit->perSecond <= warmUpPerSecond;
    return isStatedLower || !isCold(aNow)
             ? requestLimit
             : std::optional(RequestLimit{ warmUpPerSecond, aNow });
  }

  /** Whether requests wait for a permit, which may be requested now. */
  bool mayRequestPermit(Rank aRank, Instant aNow) const
  {
    return isOpen(aNow) && limitAt(aNow).has_value() && permits.isEmpty(aNow) &&
           permits.nextRequestAt(aRank) <= aNow;
  }
};

} // namespace masticwall
