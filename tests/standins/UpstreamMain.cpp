#include "UpstreamConnection.h"
#include <QCoreApplication>
#include <QTcpServer>

using namespace masticwall;

int
main(int aArgc, char** aArgv)
{
  QCoreApplication app(aArgc, aArgv);
  const standin::Options options(QCoreApplication::arguments());
  TimerService timers;
  standin::Upstream upstream(timers, options);
  QTcpServer server;
  QObject::connect(&server, &QTcpServer::newConnection, &server, [&] {
    while (auto* const socket = server.nextPendingConnection()) {
      socket->setParent(nullptr);
      std::make_shared<standin::UpstreamConnection>(upstream, socket)->start();
    }
  });
  server.setMaxPendingConnections(1000);
  if (!server.listen(options.host(), options.port())) {
    return 1;
  }
  return QCoreApplication::exec();
}
