#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <http/ConnectProbe.h>

using namespace masticwall;

namespace {

bool
probe(std::uint16_t aPort)
{
  TimerService timers;
  QEventLoop loop;
  bool isListening = false;
  http::probeConnect(
    timers, QHostAddress(QHostAddress::LocalHost), aPort, 5s, [&](bool aIsListening) {
      isListening = aIsListening;
      loop.quit();
    });
  loop.exec();
  return isListening;
}

} // namespace

TEST_CASE("a probe succeeds where a process listens, and fails where none does")
{
  QTcpServer server;
  REQUIRE(server.listen(QHostAddress::LocalHost));
  const auto port = server.serverPort();
  CHECK(probe(port));
  server.close();
  CHECK_FALSE(probe(port));
}

TEST_CASE("a probe fails if the connection is accepted and then reset")
{
  QTcpServer server;
  REQUIRE(server.listen(QHostAddress::LocalHost));
  QObject::connect(&server, &QTcpServer::newConnection, &server, [&] {
    auto* const socket = server.nextPendingConnection();
    socket->abort();
    socket->deleteLater();
  });
  CHECK_FALSE(probe(server.serverPort()));
}
