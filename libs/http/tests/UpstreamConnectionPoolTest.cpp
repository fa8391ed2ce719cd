#include <QCoreApplication>
#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <http/ExchangeError.h>
#include <http/UpstreamConnectionPool.h>
#include <optional>

using namespace masticwall;
using namespace masticwall::http;

namespace {

/** Responds to each read with a fixed response; counts connections, reads and bytes. */
class Server
{
public:
  explicit Server(QByteArray aResponse)
    : mResponse(std::move(aResponse))
  {
    QObject::connect(&mServer, &QTcpServer::newConnection, &mServer, [this] {
      auto* const socket = mServer.nextPendingConnection();
      ++connections;
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
        bytes += socket->readAll().size();
        ++requests;
        socket->write(mResponse);
      });
    });
    mServer.listen(QHostAddress::LocalHost);
  }

  quint16 port() const { return mServer.serverPort(); }

  int connections = 0;
  int requests = 0;
  qsizetype bytes = 0;

private:
  QTcpServer mServer;
  QByteArray mResponse;
};

constexpr const char* kCompleteResponse =
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

Exchange
makeExchange(const Server& aServer)
{
  Exchange exchange;
  exchange.host = QHostAddress(QHostAddress::LocalHost);
  exchange.port = aServer.port();
  exchange.request.method = "GET";
  exchange.request.target = std::string("/");
  exchange.timeout = 10s;
  exchange.connectTimeout = 10s;
  return exchange;
}

ExchangeResult
runExchange(UpstreamConnectionPool& aPool, Exchange aExchange)
{
  std::optional<ExchangeResult> result;
  QEventLoop loop;
  aExchange.done = [&](ExchangeResult aResult) {
    result = std::move(aResult);
    loop.quit();
  };
  aPool.start(std::move(aExchange));
  CHECK_FALSE(result.has_value());
  loop.exec();
  return *result;
}

} // namespace

TEST_CASE("a keep-alive connection is reused")
{
  Server server(kCompleteResponse);
  TimerService timers;
  UpstreamConnectionPool pool(timers, 2);
  for (int i = 0; i < 3; ++i) {
    const auto result = runExchange(pool, makeExchange(server));
    CHECK_FALSE(result.error);
    CHECK(result.response.body == "ok");
  }
  CHECK(server.connections == 1);
}

TEST_CASE(
  "an exchange whose canStillSend returns false writes nothing and ends with NotSent")
{
  Server server(kCompleteResponse);
  TimerService timers;
  UpstreamConnectionPool pool(timers, 2);
  for (int i = 0; i < 2; ++i) {
    // On a new connection, then on one that is kept alive.
    auto exchange = makeExchange(server);
    exchange.canStillSend = [] { return false; };
    const auto before = server.bytes;
    const auto result = runExchange(pool, std::move(exchange));
    CHECK(result.error == ExchangeError::NotSent);
    CHECK_FALSE(result.mayHaveRun);
    CHECK(server.bytes == before);
    runExchange(pool, makeExchange(server));
  }
}

TEST_CASE(
  "a response without a length is rejected, because a truncated one would look complete")
{
  Server server("HTTP/1.1 200 OK\r\n\r\npart");
  TimerService timers;
  UpstreamConnectionPool pool(timers, 2);
  const auto result = runExchange(pool, makeExchange(server));
  CHECK(result.error == ExchangeError::BadResponse);
  CHECK(result.mayHaveRun);
}

TEST_CASE("a connection that brought a broken response is not reused")
{
  struct Broken
  {
    QByteArray response;
    HttpError detail;
  };
  const QByteArray end = "Keep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nno";
  for (const auto& it :
       { Broken{ "HTTP/1.1 000 Odd\r\n" + end, HttpError::BadStatus },
         Broken{ "HTTP/1.1 200 OK\r\nX Y: 1\r\n" + end, HttpError::BadField },
         Broken{ "HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n" + end, HttpError::FoldedField },
         Broken{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + end,
                 HttpError::UnknownTransferCoding },
         Broken{ "HTTP/1.1 200 OK\r\n" + end + "more", HttpError::Surplus } }) {
    CAPTURE(it.response.toStdString());
    Server server(it.response);
    TimerService timers;
    UpstreamConnectionPool pool(timers, 2);
    for (int i = 1; i <= 2; ++i) {
      const auto result = runExchange(pool, makeExchange(server));
      CHECK(result.error == ExchangeError::BadResponse);
      CHECK(result.detail == it.detail);
      CHECK(result.mayHaveRun);
      CHECK(pool.connectionCount() == 0);
      CHECK(server.connections == i);
    }
  }
}

TEST_CASE("a connection whose exchange timed out is not reused")
{
  Server server("");
  TimerService timers;
  UpstreamConnectionPool pool(timers, 2);
  for (int i = 1; i <= 2; ++i) {
    auto exchange = makeExchange(server);
    exchange.timeout = 100ms;
    const auto result = runExchange(pool, std::move(exchange));
    CHECK(result.error == ExchangeError::Timeout);
    CHECK(result.mayHaveRun);
    CHECK(server.connections == i);
  }
}

TEST_CASE("a refused connection ends the exchange with ConnectFailed, mayHaveRun unset")
{
  auto server = std::make_unique<Server>(kCompleteResponse);
  auto exchange = makeExchange(*server);
  server.reset();
  TimerService timers;
  UpstreamConnectionPool pool(timers, 2);
  const auto result = runExchange(pool, std::move(exchange));
  CHECK(result.error == ExchangeError::ConnectFailed);
  CHECK_FALSE(result.mayHaveRun);
}

TEST_CASE("an exchange over the connection limit fails with NoConnection")
{
  Server server("");
  TimerService timers;
  UpstreamConnectionPool pool(timers, 1);
  auto first = makeExchange(server);
  first.done = [](const ExchangeResult&) {};
  pool.start(std::move(first));
  const auto result = runExchange(pool, makeExchange(server));
  CHECK(result.error == ExchangeError::NoConnection);
  CHECK_FALSE(result.mayHaveRun);
}

TEST_CASE("an exchange that fails at once ends only after start() has returned")
{
  TimerService timers;
  UpstreamConnectionPool pool(timers, 1);
  Server server(kCompleteResponse);
  auto exchange = makeExchange(server);
  exchange.host = QHostAddress(QStringLiteral("127.255.255.255")); // no host
  bool hasStarted = false;
  int ended = 0;
  exchange.done = [&](const ExchangeResult& aResult) {
    CHECK(hasStarted);
    CHECK(aResult.error == ExchangeError::ConnectFailed);
    ++ended;
  };
  pool.start(std::move(exchange));
  hasStarted = true;
  for (int i = 0; i < 1000 && ended == 0; ++i) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
  }
  CHECK(ended == 1);
}
