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
  DeadlinePassed,
  NoUpstream,
  ClaimUnavailable,
  Leaving,
  Suspect,
  UpstreamShed,
  UpstreamFailed,
  OrderUnsettled,
  ClaimantGone,
};

template<>
struct EnumTable<CallError>
{
  static constexpr const char* kCategory = "call";
  static constexpr std::array<EnumName<CallError>, 15> kEntries{ {
    { CallError::BadRequest, "bad-request" },
    { CallError::NoRoute, "no-route" },
    { CallError::MissingKey, "missing-idempotency-key" },
    { CallError::KeyReused, "idempotency-key-reused" },
    { CallError::NotReady, "not-ready" },
    { CallError::Overload, "overload" },
    { CallError::DeadlinePassed, "deadline-passed" },
    { CallError::NoUpstream, "no-upstream" },
    { CallError::ClaimUnavailable, "claim-unavailable" },
    { CallError::Leaving, "leaving" },
    { CallError::Suspect, "suspect-request" },
    { CallError::UpstreamShed, "upstream-shed" },
    { CallError::UpstreamFailed, "upstream-failed" },
    { CallError::OrderUnsettled, "order-unsettled" },
    { CallError::ClaimantGone, "claimant-gone" },
  } };
};

/** The outcome that a caller may be told with `aError`, when nothing was sent. */
constexpr Outcome
outcomeOf(CallError aError)
{
  switch (aError) {
    case CallError::UpstreamFailed:
    case CallError::OrderUnsettled:
    case CallError::ClaimantGone:
      return Outcome::Unknown;
    default:
      return Outcome::NotRun;
  }
}

} // namespace masticwall
