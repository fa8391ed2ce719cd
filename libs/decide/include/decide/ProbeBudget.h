#pragma once

namespace masticwall {

/** Limits the load that health probes, and likewise load queries, add to an upstream. */
struct ProbeBudget
{
  double probesPerSecond = 1.0; ///< to each upstream, from all VMs together; 0: no probes
  int maxVms = 16;              ///< maximum number of masticwall VMs at any time
};

} // namespace masticwall
