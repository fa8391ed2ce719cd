#pragma once

namespace masticwall {

/** How much load measuring may add to an upstream. */
struct MeasuringBudget
{
  double probesPerSecond = 1.0; ///< for each upstream, from all VMs together
  int vms = 16;                 ///< the most VMs of masticwall that will run at a time
};

} // namespace masticwall
