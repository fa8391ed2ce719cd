#pragma once

#include <core/Time.h>

namespace masticwall {

/**
 * What the operator tolerates beyond a tenant's quota: in each `window`, over all VMs,
 * (rate x window + burst) x (1 + `over`) + `slack` calls.
 */
struct QuotaTolerance
{
  Duration window{ 5s };
  double over = 0.0;  ///< as a share of the quota
  double slack = 0.0; ///< in calls
};

} // namespace masticwall
