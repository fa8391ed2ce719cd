#pragma once

#include <http/Header.h>

namespace masticwall::http {

/** A whole request. Framing fields (Content-Length and the like) are not in `headers`. */
struct Request
{
  std::string method;
  std::string target;
  HeaderList headers;
  std::string body;
  bool keepAlive = true;
  bool isHttp10 = false;
};

} // namespace masticwall::http
