#include "OutcomeEncoding.h"
#include <http/HttpError.h>
#include <messages/HeaderNames.h>

namespace masticwall {

namespace {

constexpr const char* kRetryAfterSeconds = "1";

/** One row of the table that maps outcomes to the wire. */
struct StatusRow
{
  CallError error;
  int status;
  bool mayRetry; ///< "Retry-After" is stated
};

constexpr std::array<StatusRow, 17> kStatuses{ {
  { CallError::BadRequest, 400, false },
  { CallError::NoRoute, 404, false },
  { CallError::MissingKey, 400, false },
  { CallError::KeyReused, 422, false },
  { CallError::NotReady, 503, true },
  { CallError::Overload, 503, true },
  { CallError::QueueTimeout, 503, true },
  { CallError::DeadlinePassed, 504, false },
  { CallError::NoUpstream, 503, true },
  { CallError::ClaimUnavailable, 503, true },
  { CallError::Leaving, 503, true },
  { CallError::Suspect, 422, false },
  { CallError::UpstreamShed, 503, true },
  { CallError::UpstreamFailed, 502, false },
  { CallError::OrderNotRun, 503, true },
  { CallError::OrderUnsettled, 504, false },
  { CallError::ClaimantGone, 502, false },
} };

http::Response
makeResponse(int aStatus, Outcome aOutcome, std::string_view aReason)
{
  http::Response response;
  response.status = aStatus;
  response.headers.push_back({ "Content-Type", "text/plain" });
  response.headers.push_back({ headers::kOutcome, std::string(nameOf(aOutcome)) });
  response.headers.push_back({ headers::kReason, std::string(aReason) });
  response.body = std::string(nameOf(aOutcome)) + ": " + std::string(aReason) + "\n";
  return response;
}

} // namespace

http::Response
encodeOutcome(Outcome aOutcome, CallError aError)
{
  for (const auto& it : kStatuses) {
    if (it.error != aError) {
      continue;
    }
    auto response = makeResponse(it.status, aOutcome, nameOf(aError));
    if (it.mayRetry && aOutcome == Outcome::NotRun) {
      response.headers.push_back({ headers::kRetryAfter, kRetryAfterSeconds });
    }
    return response;
  }
  return makeResponse(500, aOutcome, nameOf(aError));
}

http::Response
encodeUnreadable(const std::error_code& aError)
{
  const auto error = static_cast<HttpError>(aError.value());
  auto response = makeResponse(statusOf(error), Outcome::NotRun, nameOf(error));
  response.keepAlive = false;
  return response;
}

http::Response
encodeAnswer(http::Response aAnswer)
{
  for (const auto* const it : { headers::kNotRun,
                                headers::kLeaving,
                                headers::kInUse,
                                headers::kQueued,
                                headers::kInstance,
                                headers::kOutcome,
                                headers::kReason }) {
    http::removeHeader(aAnswer.headers, it);
  }
  aAnswer.headers.push_back(
    { headers::kOutcome, std::string(nameOf(Outcome::Answered)) });
  return aAnswer;
}

} // namespace masticwall
