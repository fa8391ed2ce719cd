#include "Ports.h"
#include "Wait.h"
#include <QTcpSocket>

namespace masticwall::test {

namespace {

bool
isListening(const QHostAddress& aHost, quint16 aPort)
{
  QTcpSocket socket;
  socket.connectToHost(aHost, aPort);
  return socket.waitForConnected(200);
}

} // namespace

bool
waitForPort(const QHostAddress& aHost, quint16 aPort)
{
  return waitUntil([&] { return isListening(aHost, aPort); });
}

} // namespace masticwall::test
