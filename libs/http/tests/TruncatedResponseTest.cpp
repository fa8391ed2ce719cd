#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <http/ExchangeError.h>
#include <http/UpstreamConnectionPool.h>
#include <optional>
#include <sys/socket.h>

using namespace masticwall;
using namespace masticwall::http;

// Guards against a response that the upstream broke off, in its head or its body, being
// passed on as a whole one.

namespace {

/** Sends the first bytes of a response and ends the connection in order. */
class TruncatingServer
{
public:
  TruncatingServer()
  {
    QObject::connect(&mServer, &QTcpServer::newConnection, &mServer, [this] {
      auto* const socket = mServer.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
        socket->readAll();
        socket->write(bytes);
        socket->flush();
        if (isResetting) {
          // Given time to arrive: a reset also drops what is still on its way.
          mReset = mTimers.scheduleAfter(20ms, [socket] {
            const linger now{ 1, 0 };
            const auto fd = static_cast<int>(socket->socketDescriptor());
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            socket->abort();
          });
          return;
        }
        socket->disconnectFromHost();
      });
    });
    mServer.listen(QHostAddress::LocalHost);
  }

  std::uint16_t port() const { return mServer.serverPort(); }

  QByteArray bytes;
  bool isResetting = false;

private:
  TimerService mTimers;
  TimerHandle mReset;
  QTcpServer mServer;
};

ExchangeResult
runExchange(UpstreamConnectionPool& aPool, std::uint16_t aPort)
{
  Exchange exchange;
  exchange.host = QHostAddress(QHostAddress::LocalHost);
  exchange.port = aPort;
  exchange.request.method = "GET";
  exchange.request.target = std::string("/");
  exchange.timeout = 10s;
  exchange.connectTimeout = 10s;
  exchange.allowCloseDelimited = true;
  exchange.isMatchingResponse = [](const Response& aResponse) {
    return findHeader(aResponse.headers, "Request-Id") == "own";
  };
  std::optional<ExchangeResult> result;
  QEventLoop loop;
  exchange.done = [&](ExchangeResult aResult) {
    result = std::move(aResult);
    loop.quit();
  };
  aPool.start(std::move(exchange));
  loop.exec();
  return *result;
}

const QByteArray kHead = "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nSignature: s\r\n";

} // namespace

TEST_CASE("a response that ends early, at any byte, is not taken as complete")
{
  TruncatingServer server;
  TimerService timers;
  UpstreamConnectionPool pool(timers, 2);
  for (const auto& whole :
       { kHead + "Content-Length: 12\r\n\r\n" + "hello, world",
         kHead +
           "Transfer-Encoding: chunked\r\n\r\n7\r\nhello, \r\n5\r\nworld\r\n0\r\n\r\n",
         kHead + "Content-Length: 0\r\n\r\n" }) {
    for (qsizetype size = 0; size < whole.size(); ++size) {
      CAPTURE(whole.left(size).toStdString());
      server.bytes = whole.left(size);
      const auto result = runExchange(pool, server.port());
      CHECK(result.error == ExchangeError::Closed);
      CHECK(result.mayHaveRun);
    }
    server.bytes = whole;
    CHECK_FALSE(runExchange(pool, server.port()).error);
  }
}

TEST_CASE("a response without a length that ends in its head is not taken as complete")
{
  TruncatingServer server;
  TimerService timers;
  UpstreamConnectionPool pool(timers, 2);
  const auto head = kHead + "\r\n";
  for (qsizetype size = 0; size < head.size(); ++size) {
    CAPTURE(head.left(size).toStdString());
    server.bytes = head.left(size);
    CHECK(runExchange(pool, server.port()).error == ExchangeError::Closed);
  }
  server.bytes = head + "hello";
  const auto result = runExchange(pool, server.port());
  CHECK_FALSE(result.error);
  CHECK(result.response.body == "hello");
}

TEST_CASE("a response without a length that ends with a reset is not taken as complete")
{
  TruncatingServer server;
  server.isResetting = true;
  server.bytes = kHead + "\r\nhello";
  TimerService timers;
  UpstreamConnectionPool pool(timers, 2);
  for (int i = 0; i < 20; ++i) {
    const auto result = runExchange(pool, server.port());
    CHECK(result.error == ExchangeError::Closed);
    CHECK(result.mayHaveRun);
  }
}
