#pragma once

#include <core/CallError.h>
#include <http/Response.h>
#include <system_error>

namespace masticwall {

/** The answer to a call that has none from an upstream. */
http::Response
encodeOutcome(Outcome aOutcome, CallError aError, Duration aRetryAfter);

/** The refusal of a request that could not be read (an HttpError). */
http::Response
encodeUnreadable(const std::error_code& aError);

/** An upstream's answer as the caller gets it. */
http::Response
encodeAnswer(http::Response aAnswer);

} // namespace masticwall
