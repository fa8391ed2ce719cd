#pragma once

#include <cstdint>
#include <decide/VmRole.h>
#include <string>
#include <vector>

namespace masticwall {

/** A VM of the platform's list. */
struct Vm
{
  std::string name;
  VmRole role = VmRole::Upstream;
  std::string region;
  std::string dataCentre;
  std::string service;            ///< upstreams only
  std::string host;               ///< an IP number
  std::uint16_t port = 0;         ///< upstreams: for calls; masticwall: the entry's peers
  std::uint16_t controlPort = 0;  ///< masticwall only: the control process's peers
  std::uint16_t operatorPort = 0; ///< masticwall only: the control's operators' port
  std::string instance;           ///< changes when the VM is started anew
  bool leaving = false;
  int slots = 0;       ///< upstreams only: calls run at a time; 0: as the service states
  bool isHeld = false; ///< not listed any more, but kept for now; see UpstreamHold
  bool isCold = false; ///< upstreams only: it says that it is slow, having just started
  int capacity = 0;    ///< masticwall only: hundredths of a core that it may use

  bool operator==(const Vm&) const = default;
};

using VmList = std::vector<Vm>;

} // namespace masticwall
