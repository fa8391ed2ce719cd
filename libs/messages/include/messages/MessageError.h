#pragma once

#include <core/ErrorEnum.h>

namespace masticwall {

/** Why a message or a log record could not be decoded. */
enum class MessageError
{
  Malformed = 1, ///< not valid CBOR or JSON of the expected structure
  FieldMissing,  ///< a field is missing or empty, or has the wrong type or size
  UnknownName,   ///< a name that is not in the enumeration
};

template<>
struct EnumTable<MessageError>
{
  static constexpr const char* kCategory = "message";
  static constexpr std::array<EnumName<MessageError>, 3> kEntries{ {
    { MessageError::Malformed, "malformed" },
    { MessageError::FieldMissing, "field-missing" },
    { MessageError::UnknownName, "unknown-name" },
  } };
};

} // namespace masticwall
