#pragma once

#include <http/Header.h>

namespace masticwall::http {

/** A whole response. Framing fields (Content-Length and the like) are not in `headers`.
 */
struct Response
{
  int status = 200;
  HeaderList headers;
  std::string body;
  bool keepAlive = true;
};

} // namespace masticwall::http
