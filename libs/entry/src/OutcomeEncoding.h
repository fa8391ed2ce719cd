#pragma once

#include <core/CallError.h>
#include <http/Response.h>
#include <system_error>

namespace masticwall {

/** The response to a call that got none from an upstream. */
http::Response
encodeOutcome(Outcome aOutcome, CallError aError, Duration aRetryAfter);

/** The response to a request that could not be parsed or received (an HttpError). */
http::Response
encodeHttpError(const std::error_code& aError);

/** An upstream's response as it is sent to the caller. */
http::Response
encodeResponse(http::Response aResponse);

} // namespace masticwall
