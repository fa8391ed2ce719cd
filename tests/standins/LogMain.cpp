#include "LogService.h"
#include "ServiceMain.h"

using namespace masticwall;

int
main(int aArgc, char** aArgv)
{
  return standin::runService(
    aArgc, aArgv, [](TimerService& aTimers, const standin::Options& aOptions) {
      return standin::LogService(aTimers, aOptions);
    });
}
