#pragma once

#include <core/ErrorEnum.h>
#include <core/Outcome.h>

namespace masticwall {

/**
 * Why a call ended without an upstream's response. An order is a call of a route that is
 * not idempotent. If the route requires claims, the VM that receives an order claims its
 * idempotency key in a log shared by all VMs (the shared log) before it sends the order
 * to an upstream. No value is 0, which means success in a std::error_code.
 */
enum class CallError
{
  BadRequest = 1,   ///< malformed request; currently unused
  NoRoute,          ///< no route matches the host, method and path
  UnknownKey,       ///< no tenant has the key that the call carries, or it carries none
  OverQuota,        ///< the call's tenant has used up its quota
  MissingKey,       ///< an order without an Idempotency-Key header
  KeyReused,        ///< the idempotency key belongs to a different request
  NotReady,         ///< this process has no configuration (preset) yet
  Overload,         ///< refused by admission control, or no upstream is fast enough
  QueueTimeout,     ///< the deadline passed before the call was sent to an upstream
  DeadlinePassed,   ///< sent, but no complete response by the deadline
  NoUpstream,       ///< no upstream is available, or none could be connected to
  Evacuated,        ///< all upstreams leave or are in evacuated data centres
  HeldOff,          ///< every upstream leaves or wants no requests for a time
  Limited,          ///< no upstream takes more requests for now: request limits
  ClaimUnavailable, ///< the shared log could not be read or written in time
  Leaving,          ///< this process is shutting down, before the call could end
  Suspect,          ///< blocked: upstreams crashed while they ran this request
  UpstreamShed,     ///< upstreams rejected the call without running it
  UpstreamFailed,   ///< an attempt failed, and the call may have run
  OrderNotRun,      ///< the VM that claimed the order reports that it did not run
  OrderUnsettled,   ///< the order's outcome was not known by the deadline
  ClaimantGone,     ///< the order's claimant is unreachable or lost its outcome
};

template<>
struct EnumTable<CallError>
{
  static constexpr const char* kCategory = "call";
  static constexpr std::array<EnumName<CallError>, 22> kEntries{ {
    { CallError::BadRequest, "bad-request" },
    { CallError::NoRoute, "no-route" },
    { CallError::UnknownKey, "unknown-key" },
    { CallError::OverQuota, "over-quota" },
    { CallError::MissingKey, "missing-idempotency-key" },
    { CallError::KeyReused, "idempotency-key-reused" },
    { CallError::NotReady, "not-ready" },
    { CallError::Overload, "overload" },
    { CallError::QueueTimeout, "queue-timeout" },
    { CallError::DeadlinePassed, "deadline-passed" },
    { CallError::NoUpstream, "no-upstream" },
    { CallError::Evacuated, "evacuated" },
    { CallError::HeldOff, "held-off" },
    { CallError::Limited, "limited" },
    { CallError::ClaimUnavailable, "claim-unavailable" },
    { CallError::Leaving, "leaving" },
    { CallError::Suspect, "suspect-request" },
    { CallError::UpstreamShed, "upstream-shed" },
    { CallError::UpstreamFailed, "upstream-failed" },
    { CallError::OrderNotRun, "order-not-run" },
    { CallError::OrderUnsettled, "order-unsettled" },
    { CallError::ClaimantGone, "claimant-gone" },
  } };
};

/**
 * The outcome that `aError` implies on its own. A call that may have been run by an
 * upstream ends as Outcome::Unknown, whatever its error.
 */
constexpr Outcome
outcomeOf(CallError aError)
{
  switch (aError) {
    case CallError::DeadlinePassed:
    case CallError::UpstreamFailed:
    case CallError::OrderUnsettled:
    case CallError::ClaimantGone:
      return Outcome::Unknown;
    default:
      return Outcome::NotRun;
  }
}

} // namespace masticwall
