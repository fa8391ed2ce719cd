#include "NativeDialect.h"
#include <entry/BearerCredential.h>
#include <messages/HeaderNames.h>

namespace masticwall {

CallMetadata
NativeDialect::readMetadata(const http::Request& aRequest)
{
  CallMetadata metadata;
  metadata.credential = readBearerCredential(aRequest.headers);
  return metadata;
}

void
NativeDialect::writeUpstreamHeaders(http::Request& aRequest,
                                    const UpstreamAddress& /*aUpstream*/,
                                    const TenantField& aTenant,
                                    Duration aTimeLeft)
{
  http::removeHeader(aRequest.headers, headers::kDeadline);
  aRequest.headers.push_back(
    { headers::kDeadline, std::to_string(toMilliseconds(aTimeLeft)) });
  replaceTenant(aRequest.headers, headers::kTenant, aTenant);
}

UpstreamReport
NativeDialect::readUpstreamReport(const http::Response& aResponse, Instant aNow)
{
  return masticwall::readUpstreamReport(aResponse, aNow);
}

bool
NativeDialect::isResponseTo(const http::Response& /*aResponse*/,
                            const CallMetadata& /*aMetadata*/)
{
  return true;
}

bool
NativeDialect::isLoadQueryResponse(const http::Response& /*aResponse*/)
{
  return true;
}

http::Response
NativeDialect::encodeOutcome(Outcome aOutcome, CallError aError, Duration aRetryAfter)
{
  return masticwall::encodeOutcome(aOutcome, aError, aRetryAfter);
}

http::Response
NativeDialect::encodeResponse(http::Response aResponse)
{
  return masticwall::encodeResponse(std::move(aResponse));
}

http::Response
NativeDialect::encodeHttpError(const std::error_code& aError)
{
  return masticwall::encodeHttpError(aError);
}

} // namespace masticwall
