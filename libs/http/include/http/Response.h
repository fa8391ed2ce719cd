#pragma once

#include <core/Time.h>
#include <http/Header.h>
#include <optional>

namespace masticwall::http {

/** A whole response. Framing fields (Content-Length and the like) are not in `headers`.
 */
struct Response
{
  int status = 200;
  HeaderList headers;
  std::string body;
  bool keepAlive = true;
  std::optional<Duration> idleLimit{}; ///< how long the sender keeps the connection idle
};

} // namespace masticwall::http
