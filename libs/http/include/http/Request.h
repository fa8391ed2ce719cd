#pragma once

#include <http/BodyReservation.h>
#include <http/Header.h>
#include <memory>

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
  /** Of the budget that bounds all bodies together; null if there is none. */
  std::shared_ptr<BodyReservation> reservation{};
};

} // namespace masticwall::http
