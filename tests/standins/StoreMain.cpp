#include "ServiceMain.h"
#include "StoreService.h"

using namespace masticwall;

int
main(int aArgc, char** aArgv)
{
  return standin::runService(aArgc, aArgv, [](TimerService&, const standin::Options&) {
    return standin::StoreService();
  });
}
