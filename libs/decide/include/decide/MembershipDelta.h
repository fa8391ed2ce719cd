#pragma once

#include <decide/VmKey.h>
#include <vector>

namespace masticwall {

/** The difference between two revisions of a list of VMs. */
struct MembershipDelta
{
  VmList changed;             ///< VMs that were added, or of which a field changed
  std::vector<VmKey> removed; ///< VMs that were removed
};

/** Applies `aDelta` to `aList`. Returns the new list, sorted by VmKey. */
VmList
apply(const MembershipDelta& aDelta, VmList aList);

} // namespace masticwall
