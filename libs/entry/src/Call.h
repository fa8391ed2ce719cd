#pragma once

#include "CallAttempt.h"
#include "CallStage.h"
#include "HedgeAttempt.h"
#include <core/ClaimId.h>
#include <core/Digest.h>
#include <decide/AdmissionRequest.h>
#include <decide/CallRank.h>
#include <decide/Preset.h>
#include <decide/QuotaTerms.h>
#include <decide/UpstreamAddress.h>
#include <entry/CallMetadata.h>
#include <http/Request.h>
#include <http/Responder.h>
#include <http/Response.h>
#include <memory>
#include <optional>
#include <runtime/TimerHandle.h>

namespace masticwall {

/**
 * A call in progress, owned by one worker and used on its thread only. A call whose route
 * is not idempotent is an order: it is sent again only if it has certainly not run.
 */
struct Call
{
  std::uint64_t id = 0;
  std::shared_ptr<const Preset> preset; ///< owns `route`
  const Route* route = nullptr;
  const Tenant* tenant = nullptr; ///< owned by `preset`; null: it has none
  std::string service;            ///< the route's, or one from its traffic split
  /** Of the route and the tenant, which both bind. As of the call's arrival, like all of
   * `preset`: a change binds the calls that arrive after it. */
  AllowedRegions allowedRegions;
  CallMetadata metadata;
  http::Request request;
  http::ResponderPtr responder;
  AdmissionRequest admissionRequest;
  Instant arrivedAt;
  Instant deadline;
  CallStage stage = CallStage::Waiting;

  bool hasSlot = false;        ///< counts against the service's limit of calls in flight
  bool ownsOrder = false;      ///< added the order's record, and must settle it
  bool mayHoldClaim = false;   ///< a claim was requested and has not been refused
  bool isClaimGranted = false; ///< the claim was granted, or none is needed
  ClaimId claim;
  Digest key; ///< of the idempotency key; set for claimed orders

  /** Of the request, to recognise one that crashes upstreams. Always set for an order;
   * otherwise only once a suspect request is known or an upstream may have crashed. */
  Digest fingerprint;
  bool isTrial = false; ///< of a suspect that is blocked; see SuspectList

  /** The quota of `tenant`; empty: it has none. */
  std::optional<QuotaTerms> quota;
  bool awaitsQuota = false;    ///< waits for a permit
  bool hasQuotaPermit = false; ///< until quotaExpiresAt, unless it is sent by then
  Instant quotaExpiresAt;
  Instant quotaDrawnUntil;       ///< until then it may be given back for another call
  Duration quotaRetryAfter{ 0 }; ///< set if the quota is used up

  std::size_t pendingLoadQueries = 0; ///< unanswered load queries, in stage QueryingLoads
  int loadQueryRounds = 0;
  TimerHandle loadQueryTimer;
  bool hasPermit = false;                  ///< for `upstream`, which has a request limit
  std::optional<UpstreamAddress> upstream; ///< in stages Sending and Settling
  std::uint64_t exchange = 0; ///< id in the worker's connection pool; 0: none
  Instant sentAt;
  std::size_t attempt = 0;           ///< index in `history` of the one at `upstream`
  std::optional<HedgeAttempt> hedge; ///< beside the one at `upstream`
  bool wasHedged = false;            ///< a hedge was sent
  TimerHandle hedgeTimer;
  std::vector<std::string> excluded; ///< upstreams already tried, not chosen again
  int attempts = 0;
  std::vector<CallAttempt> history; ///< all attempts, in the order they were sent
  bool lastAttemptMayHaveRun = false;
  std::optional<http::Response> lastErrorResponse; ///< returned if no retry succeeds
  bool wasShed = false; ///< an upstream has rejected an attempt without running it
  /** Until an upstream of the service accepts requests; set when the call ends as not
   * run while all are held off. */
  Duration heldOffFor{ 0 };
  bool mayHaveRun = false; ///< an attempt without a response may have run
  TimerHandle deadlineTimer;

  Rank rank() const { return callRank(*route, tenant); }

  /** Empty without a tenant. */
  std::string_view tenantName() const
  {
    return tenant == nullptr ? std::string_view() : std::string_view(tenant->name);
  }

  bool isOrder() const { return !route->idempotent; }

  /** An order with an idempotency key, which is claimed so that the order runs at most
   * once over all calls with that key. */
  bool isClaimedOrder() const { return isOrder() && route->requiresClaim; }
};

} // namespace masticwall
