#pragma once

#include <core/ErrorEnum.h>

namespace masticwall {

/** Why a message from another process, or a record, could not be read. */
enum class MessageError
{
  Malformed = 1, ///< not of the codec's form
  FieldMissing,  ///< a field is missing or of another type
  UnknownName,   ///< a name that its enumeration lacks
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
