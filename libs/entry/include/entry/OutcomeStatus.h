#pragma once

#include <core/CallError.h>
#include <http/Status.h>

namespace masticwall {

/** The HTTP status of a call that got no response from an upstream, and whether the
 * caller may retry it. */
struct OutcomeStatus
{
  http::Status status = 500;
  bool mayRetry = false; ///< Retry-After is sent if the call was not run
};

OutcomeStatus
statusOf(CallError aError);

} // namespace masticwall
