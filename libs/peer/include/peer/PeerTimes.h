#pragma once

#include <core/Time.h>

namespace masticwall {

/** How connections between the system's processes are watched. */
struct PeerTimes
{
  Duration connectTimeout{ 1s };
  Duration pingPeriod{ 1s };
  Duration silentLimit{ 3s }; ///< without a byte received, the connection is given up
};

} // namespace masticwall
