#pragma once

#include "OutcomeEncoding.h"
#include <entry/Dialect.h>

namespace masticwall {

/** The dialect of the product's own headers; see messages/HeaderNames.h. */
struct NativeDialect
{
  static constexpr bool kHasIds = false;
  static constexpr const char* kHealthPath = "/masticwall/health";

  static CallTerms readTerms(const http::Request& aRequest);
  static void writeTerms(http::Request& aRequest,
                         const UpstreamAddress& aUpstream,
                         Duration aLeft);
  static UpstreamSigns readSigns(const http::Response& aResponse, Instant aNow);
  static bool isAnswerTo(const http::Response& aResponse, const CallTerms& aTerms);
  static http::Response encodeOutcome(Outcome aOutcome,
                                      CallError aError,
                                      Duration aRetryAfter);
  static http::Response encodeAnswer(http::Response aAnswer);
  static http::Response encodeUnreadable(const std::error_code& aError);
};

static_assert(Dialect<NativeDialect>);

} // namespace masticwall
