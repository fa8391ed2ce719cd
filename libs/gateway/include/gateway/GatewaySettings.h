#pragma once

#include <decide/Vm.h>
#include <map>
#include <settings/EntrySettings.h>
#include <string>

namespace masticwall {

/** The settings of masticwall-gateway, independent of the file format. */
struct GatewaySettings
{
  EntrySettings entry;
  std::string path;           ///< file that the settings were read from
  std::uint16_t peerPort = 0; ///< listens for the gateways of other VMs
  std::string sourceHost;     ///< IP address
  std::uint16_t sourcePort = 0;
  int capacity = 0; ///< hundredths of a core that the process may use
  VmList seeds;     ///< masticwall VMs that may be running already
  std::map<std::string, std::string> regionOf; ///< by data centre
  double retryShare = 0.2;       ///< retries per call of a service, over all VMs
  double probesPerSecond = 60.0; ///< to each upstream, over all VMs
  double retryBurst = 60.0;      ///< retries allowed beyond the share, over all VMs
};

} // namespace masticwall
