#pragma once

#include <cstdint>
#include <decide/Vm.h>
#include <string>

namespace masticwall {

/** What a source held when it was read. */
struct SourceReading
{
  std::uint64_t version = 0; ///< of the configuration; 0: there is none yet
  std::string presetText;    ///< the configuration as the source wrote it
  VmList vms;                ///< upstreams, and VMs of masticwall
};

} // namespace masticwall
