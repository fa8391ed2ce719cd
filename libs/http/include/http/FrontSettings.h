#pragma once

#include <core/Time.h>
#include <http/MessageLimits.h>

namespace masticwall::http {

/** Limits on what callers' connections may cost. */
struct FrontSettings
{
  MessageLimits message;
  Duration requestTimeout{ 10s }; ///< from a request's first byte to its last
  Duration idleTimeout{ 60s };    ///< between requests
  Duration writeTimeout{ 30s };   ///< without a byte of the answer taken
  int maxPipelined = 16;          ///< requests of one connection in progress
  std::size_t maxConnections = 4000;
};

} // namespace masticwall::http
