#include "DaemonMain.h"
#include <gateway/GatewayDaemon.h>
#include <platform/MasticwallPlatform.h>

int
main(int aArgc, char** aArgv)
{
  using namespace masticwall;
  using Daemon = GatewayDaemon<platform::MasticwallPlatform>;
  endProcess(
    runDaemon<Daemon, platform::SettingsFile>("masticwall-gateway", aArgc, aArgv));
}
