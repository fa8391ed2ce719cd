#pragma once

namespace masticwall {

/**
 * How many connections a process may hold for each purpose, out of the descriptors that
 * it may have for sockets and pipes.
 *
 * The load that this answers: VMs that take over the callers of many lost ones. Callers
 * and upstreams get no more than leaves room for what the process itself needs to go on:
 * the source of the configuration, other VMs, the operators' port, probes.
 */
struct DescriptorBudget
{
  int own = 0;
  int upstreams = 0;
  int callers = 0;

  /** Divides `aSockets`; each part is at least 1. */
  static DescriptorBudget of(int aSockets);
};

} // namespace masticwall
