#pragma once

#include <decide/Vm.h>
#include <string>

namespace masticwall {

/**
 * The VMs of masticwall that `aOwnVm` takes its news from, best first; when none of them
 * has any, it reads the source itself. The first VM of each region, by hash, feeds its
 * region, and the first of those feeds the other regions' first: so one VM reads, and one
 * copy of a change crosses each link, whatever the number of VMs. A VM that `aOwnVm`
 * would feed is never among its own sources.
 */
VmList
sourcesOf(const std::string& aOwnVm, const VmList& aVms);

} // namespace masticwall
