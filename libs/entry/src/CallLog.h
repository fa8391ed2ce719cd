#pragma once

#include "Call.h"
#include <core/Outcome.h>

namespace masticwall {

/**
 * Logs an ended call: one line for the call and one for each attempt. Answered calls are
 * sampled, unless they took longer than their route's latency target.
 */
void
logCall(const Call& aCall, Outcome aOutcome, std::string_view aReason, Instant aNow);

} // namespace masticwall
