#pragma once

#include <http/Header.h>

namespace masticwall::http {

/** A complete request. `headers` has no framing fields (Content-Length and the like). */
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
