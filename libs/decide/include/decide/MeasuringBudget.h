#pragma once

namespace masticwall {

/** How much load measuring may add to an upstream. */
struct MeasuringBudget
{
  double probesPerSecond = 1.0; ///< for each upstream, from all VMs together
};

} // namespace masticwall
