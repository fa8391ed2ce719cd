#pragma once

#include <core/ErrorEnum.h>

namespace masticwall {

/** Why the platform's service gave no usable answer. */
enum class PlatformError
{
  Unreachable = 1, ///< no answer; an append may have taken effect
  Refused,         ///< answered with another status than success
  NotModified,     ///< the answer is what was fetched last
  BadAnswer,       ///< answered with something that is not of the published form
};

template<>
struct EnumTable<PlatformError>
{
  static constexpr const char* kCategory = "platform";
  static constexpr std::array<EnumName<PlatformError>, 4> kEntries{ {
    { PlatformError::Unreachable, "unreachable" },
    { PlatformError::Refused, "refused" },
    { PlatformError::NotModified, "not-modified" },
    { PlatformError::BadAnswer, "bad-answer" },
  } };
};

} // namespace masticwall
