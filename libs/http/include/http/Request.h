#pragma once

#include <http/Header.h>

namespace masticwall::http {

/** A complete request. `headers` has no hop-by-hop fields, Content-Length or Expect. */
struct Request
{
  std::string method;
  std::string target; ///< path and query
  HeaderList headers;
  std::string body;
  bool keepAlive = true; ///< the caller allows further requests on its connection
  bool isHttp10 = false;
};

} // namespace masticwall::http
