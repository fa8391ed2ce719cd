#pragma once

#include <decide/AttemptOutcome.h>
#include <decide/LoadReport.h>
#include <string>

namespace masticwall {

/** One attempt to send a call to an upstream, kept until the call ends, for its log. */
struct CallAttempt
{
  std::string upstream;
  LoadReport load;  ///< the upstream's load report when it was chosen
  int inFlight = 0; ///< calls in flight from this process to the upstream
  Instant sentAt;
  Instant endedAt;
  AttemptOutcome outcome = AttemptOutcome::Cancelled;
};

} // namespace masticwall
