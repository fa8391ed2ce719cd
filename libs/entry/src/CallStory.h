#pragma once

#include "Call.h"
#include <core/Outcome.h>

namespace masticwall {

/**
 * Logs how a call went, with its id: a line for its end and one for each attempt. Calls
 * that ended well and in time are sampled.
 */
void
logStory(const Call& aCall, Outcome aOutcome, std::string_view aReason, Instant aNow);

} // namespace masticwall
