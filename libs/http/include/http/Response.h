#pragma once

#include <core/Time.h>
#include <http/Header.h>
#include <optional>

namespace masticwall::http {

/** A complete response. `headers` has no framing fields (Content-Length and the like). */
struct Response
{
  int status = 200;
  HeaderList headers;
  std::string body;
  bool keepAlive = true;
  std::optional<Duration> idleLimit{}; ///< the sender's Keep-Alive timeout
};

} // namespace masticwall::http
