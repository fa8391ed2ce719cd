#pragma once

#include <decide/KeyPolicy.h>
#include <decide/QuotaTolerance.h>
#include <decide/Vm.h>
#include <decide/WarmUpTolerance.h>
#include <map>
#include <settings/EntrySettings.h>
#include <string>

namespace masticwall {

/** The settings of masticwall-gateway, independent of the file format. */
struct GatewaySettings
{
  EntrySettings entry;
  std::string path;           ///< file that the settings were read from
  std::uint16_t peerPort = 0; ///< for requests of other gateways; their Vm::controlPort
  std::string sourceHost;     ///< IP address
  std::uint16_t sourcePort = 0;
  int capacity = 0; ///< CPU that the process may use, in 1/100 of a core
  VmList seeds;     ///< masticwall VMs to ask for a feed at the start
  std::map<std::string, std::string> regionOf; ///< the region of each data centre
  double retryShare = 0.2;       ///< retries per call of a service, over all VMs
  double probesPerSecond = 60.0; ///< to each upstream, from all VMs together
  double retryBurst = 60.0;      ///< retries of a service beyond that ratio, over all VMs
  KeyPolicy keys;
  QuotaTolerance quota;
  WarmUpTolerance warmUp;
};

} // namespace masticwall
