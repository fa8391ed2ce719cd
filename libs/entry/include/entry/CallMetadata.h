#pragma once

#include <core/Time.h>
#include <decide/CallerCredential.h>
#include <optional>
#include <string>

namespace masticwall {

/** Metadata that a caller sends with its request, as the dialect reads it. */
struct CallMetadata
{
  std::string id;   ///< the caller's request id; empty if it sent none
  std::string host; ///< requested host, lower case, without the port
  std::optional<Duration> callerTimeout; ///< how long the caller waits, if it says so
  CallerCredential credential{};         ///< until the call is let in; a secret
};

} // namespace masticwall
