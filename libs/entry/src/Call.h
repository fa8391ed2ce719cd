#pragma once

#include "CallAttempt.h"
#include "CallStage.h"
#include <core/ClaimId.h>
#include <core/Digest.h>
#include <decide/Preset.h>
#include <decide/Ticket.h>
#include <decide/UpstreamAddress.h>
#include <entry/CallTerms.h>
#include <http/Request.h>
#include <http/Responder.h>
#include <http/Response.h>
#include <memory>
#include <optional>
#include <runtime/TimerSubscription.h>

namespace masticwall {

/** A call in progress. Belongs to one worker. */
struct Call
{
  std::uint64_t id = 0;
  std::shared_ptr<const Preset> preset; ///< keeps `route` alive
  const Route* route = nullptr;
  std::string service; ///< the route's, or one of its split
  CallTerms terms;
  http::Request request;
  http::ResponderPtr responder;
  Ticket ticket;
  Instant arrivedAt;
  Instant deadline;
  CallStage stage = CallStage::Waiting;

  bool holdsSlot = false;
  bool isOwner = false;   ///< an order whose record this call settles
  bool isClaimed = false; ///< a claim was asked for
  bool isGranted = false; ///< the claim was granted; true for calls that need none
  ClaimId claim;
  Digest key;
  Digest fingerprint; ///< of the request; set for orders, and for others when needed

  std::size_t loadQueries = 0; ///< without an answer yet, while Asking
  int askingRounds = 0;
  TimerSubscription askingTimer;
  std::optional<UpstreamAddress> upstream; ///< while Sending or Settling
  std::uint64_t exchange = 0;
  Instant sentAt;
  std::vector<std::string> excluded; ///< upstreams that have failed this call
  int attempts = 0;
  std::vector<CallAttempt> history; ///< attempts that have ended, and the present one
  bool isSent = false;              ///< the last attempt may have run
  std::optional<http::Response> lastAnswer; ///< an error answer, if no better one comes
  bool wasShed = false;
  bool mayHaveRun = false; ///< an attempt may have run that no answer has told of
  TimerSubscription deadlineTimer;

  bool isOrder() const { return !route->idempotent; }

  /** An order with a key of its own, claimed so that it runs once over all its calls. */
  bool isClaimedOrder() const { return isOrder() && route->claimed; }
};

} // namespace masticwall
