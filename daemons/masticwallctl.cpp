#include <QCoreApplication>
#include <ctl/CtlMain.h>

int
main(int aArgc, char** aArgv)
{
  QCoreApplication app(aArgc, aArgv);
  return masticwall::runCtl(aArgc, aArgv);
}
