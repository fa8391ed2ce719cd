#pragma once

#include <decide/Vm.h>

namespace masticwall {

/** Where a VM of masticwall takes its news from. */
struct SourceOrder
{
  VmList sources;        ///< best first; when none has news, the VM reads for itself
  std::size_t ahead = 0; ///< VMs that should read before this one does
  int depth = 0;         ///< feeds between this VM and the one that reads, as a rule

  bool operator==(const SourceOrder&) const = default;
};

/**
 * The place of `aOwn` in the tree by which news spreads. The VMs of a data centre form a
 * tree of bounded fan-out, the strongest nearest to its root and equals by a hash of
 * their names. The roots of a region are fed by the first of them, and these by the first
 * of all, which reads the source: so one VM reads, and one copy of a change crosses each
 * link, whatever the number of VMs. A VM that `aOwn` may feed is never among its sources.
 */
SourceOrder
sourceOrderOf(const Vm& aOwn, const VmList& aVms);

} // namespace masticwall
