#include <entry/OutcomeStatus.h>

namespace masticwall {

OutcomeStatus
statusOf(CallError aError)
{
  switch (aError) {
    case CallError::BadRequest:
    case CallError::MissingKey:
      return { 400, false };
    case CallError::UnknownKey:
      return { 401, false };
    case CallError::OverQuota:
      return { 429, true };
    case CallError::NoRoute:
      return { 404, false };
    case CallError::KeyReused:
    case CallError::Suspect:
      return { 422, false };
    case CallError::UpstreamFailed:
    case CallError::ClaimantGone:
      return { 502, false };
    case CallError::DeadlinePassed:
    case CallError::OrderUnsettled:
      return { 504, false };
    default:
      return { 503, true };
  }
}

} // namespace masticwall
