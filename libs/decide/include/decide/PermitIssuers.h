#pragma once

#include <decide/UpstreamAddress.h>
#include <decide/Vm.h>

namespace masticwall {

/**
 * The VMs that issue permits for an upstream: the first one, and the one that does so
 * while the first does not reply; fewer if there are not as many. All VMs with the same
 * list get the same result. They are in the upstream's data centre if possible, where
 * most of its calls come from, and which is cut off as a whole; else in its region, else
 * anywhere. `aMembers` are masticwall VMs.
 */
VmList
permitIssuersOf(const UpstreamAddress& aUpstream, const VmList& aMembers);

} // namespace masticwall
