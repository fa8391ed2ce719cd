#pragma once

#include <core/Time.h>
#include <http/Header.h>
#include <http/Status.h>
#include <optional>

namespace masticwall::http {

/** A complete response. `headers` has no hop-by-hop fields or Content-Length. */
struct Response
{
  Status status = 200;
  HeaderList headers;
  std::string body;
  bool keepAlive = true; ///< the connection stays open after the response
  std::optional<Duration> keepAliveTimeout{}; ///< in the Keep-Alive field
};

} // namespace masticwall::http
