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

namespace {

/** Sends a beginning, then a unit again and again until the connection ends. */
struct EndlessScript
{
  const char* name;
  QByteArray beginning;
  QByteArray unit;
};

const QByteArray kFiller(qsizetype{ 8 * kKiB }, 'x');

std::vector<EndlessScript>
endlessScripts()
{
  const QByteArray head = "HTTP/1.1 200 OK\r\nRequest-Id: own\r\n";
  return {
    { "no HTTP at all", "", kFiller },
    { "a header line without end", head + "Long: ", kFiller },
    { "header lines without end", head, "Line: value\r\n" },
    { "a chunk's extension without end",
      head + "Transfer-Encoding: chunked\r\n\r\n1;",
      kFiller },
    { "chunks with long extensions",
      head + "Transfer-Encoding: chunked\r\n\r\n",
      "1;" + kFiller + "\r\nx\r\n" },
    { "chunks without end", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n" },
    { "a trailer line without end",
      head + "Transfer-Encoding: chunked\r\n\r\n0\r\nTrailer: ",
      kFiller },
    { "trailer lines without end",
      head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
      "Line: value\r\n" },
    { "interim responses without end", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "responses to other requests without end",
      "",
      "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nno" },
    { "a body without length and end", head + "\r\n", kFiller },
    { "a length beyond the limit",
      head + "Content-Length: 99999999999\r\n\r\n",
      kFiller },
  };
}

/** An upstream that plays a script to each connection, as fast as it is read. */
class EndlessUpstream
{
public:
  explicit EndlessUpstream(EndlessScript aScript)
    : mScript(std::move(aScript))
  {
    QObject::connect(&mServer, &QTcpServer::newConnection, &mServer, [this] {
      auto* const socket = mServer.nextPendingConnection();
      QObject::connect(
        socket, &QTcpSocket::disconnected, socket, [this] { isClosed = true; });
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
        socket->readAll();
        write(*socket, mScript.beginning);
        writeUnits(*socket);
      });
      QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [this, socket] {
        writeUnits(*socket);
      });
    });
    mServer.listen(QHostAddress::LocalHost);
  }

  std::uint16_t port() const { return mServer.serverPort(); }

  bool isClosed = false;
  qint64 bytesSent = 0; ///< up to what the sockets buffer

private:
  static constexpr qint64 kMaxUnwritten = 64 * kKiB;

  void write(QTcpSocket& aSocket, const QByteArray& aBytes)
  {
    bytesSent += aBytes.size();
    aSocket.write(aBytes);
  }

  void writeUnits(QTcpSocket& aSocket)
  {
    while (aSocket.state() == QTcpSocket::ConnectedState &&
           aSocket.bytesToWrite() < kMaxUnwritten) {
      write(aSocket, mScript.unit);
    }
  }

  QTcpServer mServer;
  EndlessScript mScript;
};

constexpr std::uint64_t kMaxBodyBytes = 256 * kKiB;
constexpr Duration kTimeout =
  30s; ///< of the exchange; the bounds on bytes act long before

} // namespace

TEST_CASE("an upstream that sends bytes without end is cut off, and the exchange fails")
{
  for (const auto& script : endlessScripts()) {
    CAPTURE(script.name);
    EndlessUpstream upstream(script);
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
