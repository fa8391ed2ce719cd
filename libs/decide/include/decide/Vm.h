#pragma once

#include <cstdint>
#include <decide/VmRole.h>
#include <string>
#include <vector>

namespace masticwall {

/** One entry of the platform's list of VMs. */
struct Vm
{
  std::string name;
  VmRole role = VmRole::Upstream;
  std::string region;
  std::string dataCentre;
  std::string service;    ///< upstreams only
  std::string host;       ///< an IP address
  std::uint16_t port = 0; ///< for calls; masticwall: for peers, of the entry process
  std::uint16_t controlPort = 0;  ///< masticwall only: for peers, of the control process
  std::uint16_t operatorPort = 0; ///< masticwall only: for operators
  std::string instance;           ///< id, new at each start of the VM
  bool leaving = false;           ///< draining: gets no new calls
  int slots = 0; ///< upstreams only: max calls at a time; 0: the service's default
  bool isRetained = false;  ///< missing at the source, but kept; see VmListMerger
  bool isWarmingUp = false; ///< upstreams only: reports that it is slow after its start
  int capacity = 0;         ///< masticwall only: usable CPU, in 1/100 of a core

  bool operator==(const Vm&) const = default;
};

using VmList = std::vector<Vm>;

} // namespace masticwall
