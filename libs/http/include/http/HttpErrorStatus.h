#pragma once

#include <http/HttpError.h>
#include <http/Status.h>

namespace masticwall {

/** The status code of the response to a caller's request that could not be parsed. */
constexpr http::Status
statusOf(HttpError aError)
{
  switch (aError) {
    case HttpError::HeaderTooLarge:
      return 431;
    case HttpError::BodyTooLarge:
      return 413;
    case HttpError::Timeout:
      return 408;
    case HttpError::NoRoom:
      return 503;
    case HttpError::UnknownTransferCoding:
      return 501;
    default:
      return 400;
  }
}

} // namespace masticwall
