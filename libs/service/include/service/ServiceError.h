#pragma once

#include <core/ErrorEnum.h>

namespace masticwall {

/** Why the platform's service gave no usable answer. */
enum class ServiceError
{
  Unreachable = 1, ///< no answer; an append may have taken effect
  Refused,         ///< answered with another status than success
  NotModified,     ///< the answer is what was fetched last
  BadAnswer,       ///< answered with something that is not of the published form
};

template<>
struct EnumTable<ServiceError>
{
  static constexpr const char* kCategory = "service";
  static constexpr std::array<EnumName<ServiceError>, 4> kEntries{ {
    { ServiceError::Unreachable, "unreachable" },
    { ServiceError::Refused, "refused" },
    { ServiceError::NotModified, "not-modified" },
    { ServiceError::BadAnswer, "bad-answer" },
  } };
};

} // namespace masticwall
