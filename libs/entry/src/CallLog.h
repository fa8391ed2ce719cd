#pragma once

#include "Call.h"
#include <core/Outcome.h>

namespace masticwall {

/**
 * Logs an ended call: one line for the call and one for each attempt. Calls that were
 * answered within their latency target are sampled.
 */
void
logCall(const Call& aCall, Outcome aOutcome, std::string_view aReason, Instant aNow);

} // namespace masticwall
