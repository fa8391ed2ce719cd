#pragma once

#include <cstdint>
#include <decide/Vm.h>
#include <optional>
#include <string>

namespace masticwall {

/** The contents of the source at one read. */
struct SourceSnapshot
{
  std::uint64_t version = 0; ///< of the preset; 0 if there is none yet
  std::string presetText;    ///< the preset in the source's format
  /** Rises each time that the source comes back from an older copy; empty: not known. */
  std::optional<std::uint64_t> era;
  std::vector<std::string> evacuated; ///< data centres; all that are
  VmList vms;                         ///< upstreams and masticwall VMs
};

} // namespace masticwall
