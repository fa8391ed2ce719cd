#pragma once

#include <core/Time.h>
#include <cstdint>
#include <decide/UpstreamAddress.h>

namespace masticwall {

/** The second one of two requests of a call that are in progress at the same time. */
struct HedgeAttempt
{
  UpstreamAddress upstream;
  std::uint64_t exchange = 0; ///< id in the worker's connection pool
  Instant sentAt;
  std::size_t attempt = 0; ///< index in Call::history
};

} // namespace masticwall
