#pragma once

#include <decide/CallEnd.h>
#include <decide/LoadReport.h>
#include <string>

namespace masticwall {

/** One send of a call to an upstream, kept until the call ends, for its story. */
struct CallAttempt
{
  std::string upstream;
  LoadReport load;  ///< that the choice was made on
  int inFlight = 0; ///< calls from this process to the upstream
  Instant sentAt;
  Instant endedAt;
  CallEnd end = CallEnd::Cancelled;
};

} // namespace masticwall
