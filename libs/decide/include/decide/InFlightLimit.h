#pragma once

#include <algorithm>
#include <cmath>

namespace masticwall {

/**
 * The limit of the calls in flight to a service from one entry process.
 *
 * The load that this answers: many VMs in front of few slots. A VM's share of them is one
 * or two calls, and calls come unevenly, so that some wait in one VM while slots are
 * free. While the upstreams have room, a VM may exceed its share by as much as its calls
 * in flight vary: by the root of the share. Without room the share holds, as the
 * upstreams' queues would fill. Room is looked at when a call arrives.
 */
struct InFlightLimit
{
  int share = 1;  ///< of this process, rounded up
  int margin = 0; ///< calls beyond the share, while the upstreams have room

  /** `aSlots` slots are shared by `aEntries` processes; `aOvercommit` is
   * Limits::overcommit. */
  static InFlightLimit of(double aOvercommit, int aSlots, int aEntries)
  {
    const auto share = std::max(0.0, aOvercommit * aSlots / std::max(1, aEntries));
    const auto rounded = std::max(1, static_cast<int>(std::ceil(share)));
    const auto varying = static_cast<int>(std::ceil(share + std::sqrt(share)));
    return { rounded, std::max(0, varying - rounded) };
  }
};

} // namespace masticwall
