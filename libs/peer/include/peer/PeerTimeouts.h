#pragma once

#include <core/Time.h>

namespace masticwall {

/** Timeouts of the connections between the system's processes. */
struct PeerTimeouts
{
  Duration connectTimeout{ 1s };
  Duration pingPeriod{
    1s
  }; ///< between a client's PINGs, and between checks of receiveTimeout
  Duration receiveTimeout{ 3s }; ///< without a received byte, the connection is closed
};

} // namespace masticwall
