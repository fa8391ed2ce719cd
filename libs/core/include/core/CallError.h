#pragma once

#include <core/ErrorEnum.h>
#include <core/Outcome.h>

namespace masticwall {

/** Why a call has no answer from an upstream. */
enum class CallError
{
  BadRequest = 1,
  NoRoute,
  MissingKey,
  KeyReused,
  NotReady,
  Overload,
  QueueTimeout,   ///< no slot or claim in time; nothing was sent
  DeadlinePassed, ///< no whole answer in time
  NoUpstream,
  ClaimUnavailable,
  Leaving,
  Suspect,
  UpstreamShed,
  UpstreamFailed,
  OrderNotRun,
  OrderUnsettled, ///< the order still runs, here or at its claimant
  ClaimantGone,   ///< the VM that claimed the order is gone or unreachable
};

template<>
struct EnumTable<CallError>
{
  static constexpr const char* kCategory = "call";
  static constexpr std::array<EnumName<CallError>, 17> kEntries{ {
    { CallError::BadRequest, "bad-request" },
    { CallError::NoRoute, "no-route" },
    { CallError::MissingKey, "missing-idempotency-key" },
    { CallError::KeyReused, "idempotency-key-reused" },
    { CallError::NotReady, "not-ready" },
    { CallError::Overload, "overload" },
    { CallError::QueueTimeout, "queue-timeout" },
    { CallError::DeadlinePassed, "deadline-passed" },
    { CallError::NoUpstream, "no-upstream" },
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

/** The outcome that goes with `aError`, unless more is known of the call. */
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
