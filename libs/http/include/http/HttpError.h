#pragma once

#include <core/ErrorEnum.h>

namespace masticwall {

/** Why a message could not be read. */
enum class HttpError
{
  Malformed = 1,
  HeaderTooLarge,
  BodyTooLarge,
  Timeout,
  Incomplete, ///< the connection ended within the message
  Surplus,    ///< bytes came that belong to no request
  Unframed,   ///< a response whose end only the connection's end would tell
};

template<>
struct EnumTable<HttpError>
{
  static constexpr const char* kCategory = "http";
  static constexpr std::array<EnumName<HttpError>, 7> kEntries{ {
    { HttpError::Malformed, "malformed" },
    { HttpError::HeaderTooLarge, "header-too-large" },
    { HttpError::BodyTooLarge, "body-too-large" },
    { HttpError::Timeout, "timeout" },
    { HttpError::Incomplete, "incomplete" },
    { HttpError::Surplus, "surplus" },
    { HttpError::Unframed, "unframed" },
  } };
};

/** The status that a caller's unreadable request is refused with. */
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
    default:
      return 400;
  }
}

} // namespace masticwall
