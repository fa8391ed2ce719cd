#include "OutcomeEncoding.h"
#include <entry/BearerCredential.h>
#include <entry/OutcomeStatus.h>
#include <http/HttpErrorStatus.h>
#include <messages/HeaderNames.h>

namespace masticwall {

namespace {

http::Response
makeResponse(http::Status aStatus, Outcome aOutcome, std::string_view aReason)
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
encodeOutcome(Outcome aOutcome, CallError aError, Duration aRetryAfter)
{
  const auto status = statusOf(aError);
  auto response = makeResponse(status.status, aOutcome, nameOf(aError));
  if (aError == CallError::UnknownKey) {
    response.headers.push_back({ kAuthenticate, kBearer });
  }
  if (status.mayRetry && aOutcome == Outcome::NotRun) {
    // Retry-After is in whole seconds.
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(aRetryAfter).count();
    response.headers.push_back({ headers::kRetryAfter, std::to_string(seconds) });
  }
  return response;
}

http::Response
encodeHttpError(const std::error_code& aError)
{
  const auto error = static_cast<HttpError>(aError.value());
  auto response = makeResponse(statusOf(error), Outcome::NotRun, nameOf(error));
  response.keepAlive = false;
  return response;
}

http::Response
encodeResponse(http::Response aResponse)
{
  for (const auto* const it : { headers::kNotRun,
                                headers::kLeaving,
                                headers::kInUse,
                                headers::kQueued,
                                headers::kInstance,
                                headers::kOutcome,
                                headers::kReason }) {
    http::removeHeader(aResponse.headers, it);
  }
  aResponse.headers.push_back(
    { headers::kOutcome, std::string(nameOf(Outcome::Answered)) });
  return aResponse;
}

} // namespace masticwall
