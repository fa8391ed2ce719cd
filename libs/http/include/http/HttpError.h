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
  BadStatus,             ///< no status of a response
  BadField,              ///< a line of a head is no field
  BadFraming,            ///< fields or chunks that don't tell where the message ends
  FoldedField,           ///< a line of a head continues the one before it
  NoRoom,   ///< the bodies of all requests together leave no room for this one
  Unframed, ///< a response without a length, delimited by the connection's close
};

template<>
struct EnumTable<HttpError>
{
  static constexpr const char* kCategory = "http";
  static constexpr std::array<EnumName<HttpError>, 13> kEntries{ {
    { HttpError::Malformed, "malformed" },
    { HttpError::HeaderTooLarge, "header-too-large" },
    { HttpError::BodyTooLarge, "body-too-large" },
    { HttpError::Timeout, "timeout" },
    { HttpError::Incomplete, "incomplete" },
    { HttpError::Surplus, "surplus" },
    { HttpError::UnknownTransferCoding, "unknown-transfer-coding" },
    { HttpError::BadStatus, "bad-status" },
    { HttpError::BadField, "bad-field" },
    { HttpError::BadFraming, "bad-framing" },
    { HttpError::FoldedField, "folded-field" },
    { HttpError::NoRoom, "no-room" },
    { HttpError::Unframed, "unframed" },
  } };
};

} // namespace masticwall
