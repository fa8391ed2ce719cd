#include "NativeDialect.h"
#include <messages/HeaderNames.h>

namespace masticwall {

CallMetadata
NativeDialect::readMetadata(const http::Request& /*aRequest*/)
{
  return {};
}

void
NativeDialect::writeUpstreamHeaders(http::Request& aRequest,
                                    const UpstreamAddress& /*aUpstream*/,
                                    Duration aTimeLeft)
{
  http::removeHeader(aRequest.headers, headers::kDeadline);
  aRequest.headers.push_back(
    { headers::kDeadline, std::to_string(toMilliseconds(aTimeLeft)) });
}

UpstreamSigns
NativeDialect::readSigns(const http::Response& aResponse, Instant aNow)
{
  return masticwall::readSigns(aResponse, aNow);
}

bool
NativeDialect::isAnswerTo(const http::Response& /*aResponse*/,
                          const CallMetadata& /*aMetadata*/)
{
  return true;
}

http::Response
NativeDialect::encodeOutcome(Outcome aOutcome, CallError aError, Duration aRetryAfter)
{
  return masticwall::encodeOutcome(aOutcome, aError, aRetryAfter);
}

http::Response
NativeDialect::encodeAnswer(http::Response aResponse)
{
  return masticwall::encodeAnswer(std::move(aResponse));
}

http::Response
NativeDialect::encodeHttpError(const std::error_code& aError)
{
  return masticwall::encodeHttpError(aError);
}

} // namespace masticwall
