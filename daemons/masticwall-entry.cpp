#include "DaemonMain.h"
#include <entry/EntryDaemon.h>

int
main(int aArgc, char** aArgv)
{
  using namespace masticwall;
  endProcess(runDaemon<EntryDaemon, EntrySettings>("masticwall-entry", aArgc, aArgv));
}
