#pragma once

#include <core/Time.h>
#include <http/MessageLimits.h>

namespace masticwall::http {

/** Limits on the resources that callers' connections use. */
struct HttpListenerSettings
{
  MessageLimits message;             ///< of each request
  Duration requestTimeout{ 10s };    ///< from a request's first byte to its last
  Duration idleTimeout{ 60s };       ///< between requests
  Duration writeTimeout{ 30s };      ///< without progress in writing responses
  int maxPipelined = 16;             ///< requests in progress on one connection
  std::size_t maxConnections = 4000; ///< of one listener; see HttpListener
};

} // namespace masticwall::http
