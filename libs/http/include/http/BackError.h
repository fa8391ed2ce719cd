#pragma once

#include <core/ErrorEnum.h>

namespace masticwall {

/** Why an exchange with an upstream gave no whole answer. */
enum class BackError
{
  ConnectFailed = 1,
  ConnectTimeout,
  NoConnection, ///< the limit of connections is reached
  Withdrawn,    ///< its owner withdrew it before the first byte was written
  Closed,       ///< the connection ended before the answer was whole
  Timeout,
  BadAnswer, ///< malformed, unframed, too large, or more than one
};

template<>
struct EnumTable<BackError>
{
  static constexpr const char* kCategory = "back";
  static constexpr std::array<EnumName<BackError>, 7> kEntries{ {
    { BackError::ConnectFailed, "connect-failed" },
    { BackError::ConnectTimeout, "connect-timeout" },
    { BackError::NoConnection, "no-connection" },
    { BackError::Withdrawn, "withdrawn" },
    { BackError::Closed, "closed" },
    { BackError::Timeout, "timeout" },
    { BackError::BadAnswer, "bad-answer" },
  } };
};

} // namespace masticwall
