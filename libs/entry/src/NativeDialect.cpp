#include "NativeDialect.h"
#include <messages/HeaderNames.h>

namespace masticwall {

CallTerms
NativeDialect::readTerms(const http::Request& /*aRequest*/)
{
  return {};
}

void
NativeDialect::writeTerms(http::Request& aRequest,
                          const UpstreamAddress& /*aUpstream*/,
                          Duration aLeft)
{
  http::removeHeader(aRequest.headers, headers::kDeadline);
  aRequest.headers.push_back(
    { headers::kDeadline, std::to_string(toMilliseconds(aLeft)) });
}

UpstreamSigns
NativeDialect::readSigns(const http::Response& aResponse, Instant aNow)
{
  return masticwall::readSigns(aResponse, aNow);
}

bool
NativeDialect::isAnswerTo(const http::Response& /*aResponse*/,
                          const CallTerms& /*aTerms*/)
{
  return true;
}

http::Response
NativeDialect::encodeOutcome(Outcome aOutcome, CallError aError, Duration aRetryAfter)
{
  return masticwall::encodeOutcome(aOutcome, aError, aRetryAfter);
}

http::Response
NativeDialect::encodeAnswer(http::Response aAnswer)
{
  return masticwall::encodeAnswer(std::move(aAnswer));
}

http::Response
NativeDialect::encodeUnreadable(const std::error_code& aError)
{
  return masticwall::encodeUnreadable(aError);
}

} // namespace masticwall
