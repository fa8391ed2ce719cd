#pragma once

#include <core/ErrorEnum.h>

namespace masticwall {

/** Why a request to one of the platform's services failed. */
enum class ServiceError
{
  Unreachable = 1, ///< no complete response; an append may have taken effect
  Refused,         ///< a status other than 200, 202 and 304
  NotModified,     ///< unchanged since the last fetch
  BadResponse,     ///< a response that doesn't have the documented format
};

template<>
struct EnumTable<ServiceError>
{
  static constexpr const char* kCategory = "service";
  static constexpr std::array<EnumName<ServiceError>, 4> kEntries{ {
    { ServiceError::Unreachable, "unreachable" },
    { ServiceError::Refused, "refused" },
    { ServiceError::NotModified, "not-modified" },
    { ServiceError::BadResponse, "bad-answer" },
  } };
};

} // namespace masticwall
