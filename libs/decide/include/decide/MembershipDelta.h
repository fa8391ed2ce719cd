#pragma once

#include <decide/VmKey.h>
#include <vector>

namespace masticwall {

/** What has changed in a list of VMs since an earlier revision of it. */
struct MembershipDelta
{
  VmList changed; ///< new VMs, and VMs with other fields
  std::vector<VmKey> gone;
};

/** Applies `aDelta` to `aList`; the result is in the order of VmKey. */
VmList
apply(const MembershipDelta& aDelta, VmList aList);

} // namespace masticwall
