#pragma once

namespace masticwall {

/**
 * What an upstream bears while it warms up: in each second, from all VMs together, its
 * service's rate x `over` + `slack` requests.
 */
struct WarmUpTolerance
{
  double over = 1.0;
  double slack = 0.0; ///< in requests
};

} // namespace masticwall
