#include "DaemonMain.h"
#include <control/ControlDaemon.h>

int
main(int aArgc, char** aArgv)
{
  using namespace masticwall;
  endProcess(
    runDaemon<ControlDaemon, ControlSettings>("masticwall-control", aArgc, aArgv));
}
