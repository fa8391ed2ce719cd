#pragma once

#include "OutcomeEncoding.h"
#include <entry/Dialect.h>

namespace masticwall {

/** The dialect of Masticwall's own headers; see messages/HeaderNames.h. */
struct NativeDialect
{
  static constexpr bool kEchoesRequestId = false;
  static constexpr const char* kHealthPath = "/masticwall/health";

  static CallMetadata readMetadata(const http::Request& aRequest);
  static void writeUpstreamHeaders(http::Request& aRequest,
                                   const UpstreamAddress& aUpstream,
                                   const TenantField& aTenant,
                                   Duration aTimeLeft);
  static UpstreamReport readUpstreamReport(const http::Response& aResponse, Instant aNow);
  static bool isResponseTo(const http::Response& aResponse,
                           const CallMetadata& aMetadata);
  static bool isLoadQueryResponse(const http::Response& aResponse);
  static http::Response encodeOutcome(Outcome aOutcome,
                                      CallError aError,
                                      Duration aRetryAfter);
  static http::Response encodeResponse(http::Response aResponse);
  static http::Response encodeHttpError(const std::error_code& aError);
};

static_assert(Dialect<NativeDialect>);

} // namespace masticwall
