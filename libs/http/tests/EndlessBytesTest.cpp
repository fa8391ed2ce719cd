#include <EndlessServer.h>
#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <core/Bytes.h>
#include <http/ExchangeError.h>
#include <http/UpstreamConnectionPool.h>
#include <optional>

using namespace masticwall;
using namespace masticwall::http;
using namespace masticwall::test;

namespace {

constexpr std::uint64_t kMaxBodyBytes = 256 * kKiB;
constexpr Duration kTimeout =
  30s; ///< of the exchange; the bounds on bytes act long before

} // namespace

TEST_CASE("an upstream that sends bytes without end is cut off, and the exchange fails")
{
  for (const auto& script : endlessScripts()) {
    CAPTURE(script.name);
    EndlessServer upstream(script);
    TimerService timers;
    UpstreamConnectionPool pool(timers, 2);
    Exchange exchange;
    exchange.host = QHostAddress(QHostAddress::LocalHost);
    exchange.port = upstream.port();
    exchange.request.method = "GET";
    exchange.request.target = std::string("/");
    exchange.limits.maxBodyBytes = kMaxBodyBytes;
    exchange.timeout = kTimeout;
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
    pool.start(std::move(exchange));
    loop.exec();
    CHECK(result->error == ExchangeError::BadResponse);
    CHECK(result->mayHaveRun);
    CHECK(pool.connectionCount() == 0);
    // The sockets of both sides buffer a few MB on loopback.
    CHECK(upstream.bytesSent < 16 * qint64{ kMiB });
    const auto closed = timers.scheduleEvery(10ms, [&] {
      if (upstream.isClosed) {
        loop.quit();
      }
    });
    loop.exec();
    CHECK(upstream.isClosed);
  }
}

TEST_CASE("a response whose last bytes come with the connection's end is taken once")
{
  QTcpServer server;
  QObject::connect(&server, &QTcpServer::newConnection, &server, [&server] {
    auto* const socket = server.nextPendingConnection();
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] {
      socket->readAll();
      socket->write("HTTP/1.1 200 OK\r\nRequest-Id: own\r\nConnection: close\r\n"
                    "Content-Length: 2\r\n\r\nok");
      socket->disconnectFromHost();
    });
  });
  server.listen(QHostAddress::LocalHost);
  TimerService timers;
  UpstreamConnectionPool pool(timers, 2);
  for (int i = 0; i < 50; ++i) {
    Exchange exchange;
    exchange.host = QHostAddress(QHostAddress::LocalHost);
    exchange.port = server.serverPort();
    exchange.request.method = "GET";
    exchange.request.target = std::string("/");
    exchange.timeout = kTimeout;
    exchange.connectTimeout = kTimeout;
    exchange.allowCloseDelimited = true;
    exchange.isMatchingResponse = [](const Response& aResponse) {
      return findHeader(aResponse.headers, "Request-Id") == "own";
    };
    int ends = 0;
    std::string body;
    QEventLoop loop;
    exchange.done = [&](const ExchangeResult& aResult) {
      ++ends;
      CHECK_FALSE(aResult.error);
      body = aResult.response.body;
      loop.quit();
    };
    pool.start(std::move(exchange));
    loop.exec();
    CHECK(ends == 1);
    CHECK(body == "ok");
  }
}
