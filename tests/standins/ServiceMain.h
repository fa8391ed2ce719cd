#pragma once

#include "AdminServer.h"
#include "Options.h"
#include <QCoreApplication>

namespace masticwall::standin {

/**
 * The main function of a stand-in that serves HTTP: serves what `aMake` makes of a timer
 * service and the options, at the address of the options, until the process is ended.
 */
template<class M>
int
runService(int aArgc, char** aArgv, M aMake)
{
  QCoreApplication app(aArgc, aArgv);
  const Options options(QCoreApplication::arguments());
  TimerService timers;
  auto service = aMake(timers, options);
  const auto listener = listenOrExit(
    timers,
    options.host(),
    options.port(),
    [&](const http::Request& aRequest, const http::ResponderPtr& aResponder) {
      service.handle(aRequest, aResponder);
    });
  return QCoreApplication::exec();
}

} // namespace masticwall::standin
