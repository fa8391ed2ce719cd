#pragma once

#include <core/ErrorEnum.h>

namespace masticwall {

/** Why a request to another process of the system has no reply. */
enum class PeerError
{
  ConnectFailed = 1,
  Lost,    ///< the connection ended first
  Silent,  ///< the other end answers no PING
  Timeout, ///< no reply in the time given
  Refused, ///< the other end does not serve the request
};

template<>
struct EnumTable<PeerError>
{
  static constexpr const char* kCategory = "peer";
  static constexpr std::array<EnumName<PeerError>, 5> kEntries{ {
    { PeerError::ConnectFailed, "connect-failed" },
    { PeerError::Lost, "lost" },
    { PeerError::Silent, "silent" },
    { PeerError::Timeout, "timeout" },
    { PeerError::Refused, "refused" },
  } };
};

} // namespace masticwall
