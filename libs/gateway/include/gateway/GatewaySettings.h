#pragma once

#include <decide/Vm.h>
#include <map>
#include <settings/EntrySettings.h>
#include <string>

namespace masticwall {

/** The settings of masticwall-gateway, whatever their format. */
struct GatewaySettings
{
  EntrySettings entry;
  std::string path;           ///< of the file that they were read from
  std::uint16_t peerPort = 0; ///< for the gateways of other VMs
  std::string sourceHost;     ///< an IP number
  std::uint16_t sourcePort = 0;
  int capacity = 0; ///< hundredths of a core that the process may use
  VmList seeds;     ///< VMs that may run already
  std::map<std::string, std::string> regionOf; ///< by data centre
  double retryShare = 0.2;       ///< retries over calls of a service, of all VMs together
  double probesPerSecond = 60.0; ///< for each upstream, from all VMs together
  double retryBurst = 60.0;      ///< retries beyond that share, of all VMs together
};

} // namespace masticwall
