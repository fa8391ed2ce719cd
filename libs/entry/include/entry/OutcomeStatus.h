#pragma once

#include <core/CallError.h>

namespace masticwall {

/** The HTTP status that a call without an answer ends with, and whether it may come
 * again. */
struct OutcomeStatus
{
  int status = 500;
  bool mayRetry = false; ///< a time to retry after is stated, if the call was not run
};

OutcomeStatus
statusOf(CallError aError);

} // namespace masticwall
