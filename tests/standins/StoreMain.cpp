#include "AdminServer.h"
#include "Options.h"
#include "StoreService.h"
#include <QCoreApplication>

using namespace masticwall;

int
main(int aArgc, char** aArgv)
{
  QCoreApplication app(aArgc, aArgv);
  const standin::Options options(QCoreApplication::arguments());
  TimerService timers;
  standin::StoreService service;
  const auto listener = standin::listenOrExit(
    timers,
    options.host(),
    options.port(),
    [&](const http::Request& aRequest, const http::ResponderPtr& aResponder) {
      service.handle(aRequest, aResponder);
    });
  return QCoreApplication::exec();
}
