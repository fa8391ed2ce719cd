#pragma once

#include <http/Response.h>
#include <system_error>

namespace masticwall::http {

/** How an exchange with an upstream ended. */
struct ExchangeResult
{
  std::error_code error;   ///< an ExchangeError; clear if `response` is complete
  std::error_code detail;  ///< of BadResponse: what is wrong with it, an HttpError
  bool mayHaveRun = false; ///< the first byte of the request may have been sent
  Response response;
  int discardedResponses =
    0; ///< complete ones that belong to no request of this exchange
};

} // namespace masticwall::http
