#pragma once

#include <core/ErrorEnum.h>

namespace masticwall {

/** Why an HTTP message could not be received or parsed. */
enum class HttpError
{
  Malformed = 1,
  HeaderTooLarge,
  BodyTooLarge,
  Timeout,
  Incomplete,            ///< the connection ended within the message
  Surplus,               ///< received bytes that belong to no request
  UnknownTransferCoding, ///< a transfer coding other than "chunked"
  Unframed, ///< a response without a length, delimited by the connection's close
};

template<>
struct EnumTable<HttpError>
{
  static constexpr const char* kCategory = "http";
  static constexpr std::array<EnumName<HttpError>, 8> kEntries{ {
    { HttpError::Malformed, "malformed" },
    { HttpError::HeaderTooLarge, "header-too-large" },
    { HttpError::BodyTooLarge, "body-too-large" },
    { HttpError::Timeout, "timeout" },
    { HttpError::Incomplete, "incomplete" },
    { HttpError::Surplus, "surplus" },
    { HttpError::UnknownTransferCoding, "unknown-transfer-coding" },
    { HttpError::Unframed, "unframed" },
  } };
};

/** The status code of the response to a caller's request that could not be parsed. */
constexpr int
statusOf(HttpError aError)
{
  switch (aError) {
    case HttpError::HeaderTooLarge:
      return 431;
    case HttpError::BodyTooLarge:
      return 413;
    case HttpError::Timeout:
      return 408;
    case HttpError::UnknownTransferCoding:
      return 501;
    default:
      return 400;
  }
}

} // namespace masticwall
