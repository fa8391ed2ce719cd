#pragma once

#include <core/ErrorEnum.h>

namespace masticwall {

/** Why a request to another process of the system failed. */
enum class PeerError
{
  ConnectFailed = 1,
  Lost,   ///< the connection or stream closed before the reply
  Silent, ///< no byte received within PeerTimeouts::receiveTimeout, not even a PING reply
  Timeout, ///< no reply within the request's timeout
  Refused, ///< the peer replied with a status other than 200
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
