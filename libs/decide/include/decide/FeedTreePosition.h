#pragma once

#include <decide/Vm.h>

namespace masticwall {

/**
 * A VM's position in the tree that distributes the configuration and the list of VMs. The
 * VM at its root reads them from the source; every other VM gets a feed from another VM,
 * and reads the source itself only if no candidate has up-to-date data.
 */
struct FeedTreePosition
{
  VmList feedCandidates;    ///< VMs to get the feed from, best first; empty for the root
  std::size_t vmsAhead = 0; ///< better VMs on its level, which take over first
  int depth = 0;            ///< hops from the root, by each VM's best candidate

  bool operator==(const FeedTreePosition&) const = default;
};

/**
 * Computes the position of `aOwn` in the distribution tree. The VMs of a data centre form
 * a tree of bounded fan-out, in the order of capacity and then of a hash of their names;
 * the first VM is its root. The first of a region's data-centre roots is the region's
 * root and feeds the others. The first of the region roots reads the source and feeds the
 * others. So one VM reads the source, and each change crosses a link between data centres
 * or regions once, whatever the number of VMs. With the same list at all VMs, feeds can't
 * form a cycle: no VM is a candidate of its own candidates.
 */
FeedTreePosition
feedTreePositionOf(const Vm& aOwn, const VmList& aVms);

} // namespace masticwall
