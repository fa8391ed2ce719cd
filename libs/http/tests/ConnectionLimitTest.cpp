#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <deque>
#include <http/HttpListener.h>
#include <http/UpstreamConnectionPool.h>

using namespace masticwall;
using namespace masticwall::http;

// Guards against a process that uses all its descriptors for callers or upstreams.

namespace {

const QByteArray kRequest = "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n";
constexpr std::size_t kLimit = 3;
constexpr Duration kTimeout = 10s;
constexpr Duration kIdle = 400ms; ///< longer than the time until a connection is replaced

bool
runUntil(TimerService& aTimers,
         const std::function<bool()>& aCondition,
         Duration aTimeout = kTimeout)
{
  QEventLoop loop;
  bool isMet = false;
  const auto check = aTimers.scheduleEvery(1ms, [&] {
    if (aCondition()) {
      isMet = true;
      loop.quit();
    }
  });
  const auto timeout = aTimers.scheduleAfter(aTimeout, [&] { loop.quit(); });
  loop.exec();
  return isMet;
}

class Fixture
{
public:
  Fixture()
  {
    HttpListenerSettings settings;
    settings.maxConnections = kLimit;
    auto created = HttpListener::listen(
      timers,
      QHostAddress(QHostAddress::LocalHost),
      0,
      settings,
      [this](const Request&, ResponderPtr aResponder) {
        pending.push_back(std::move(aResponder));
      },
      [](const std::error_code&) {
        return Response{ 400, {}, {}, false };
      });
    REQUIRE(created.has_value());
    listener = std::move(created.value());
  }

  std::unique_ptr<QTcpSocket> connect()
  {
    auto socket = std::make_unique<QTcpSocket>();
    socket->connectToHost(QHostAddress(QHostAddress::LocalHost), listener->port());
    REQUIRE(socket->waitForConnected());
    socket->write(kRequest);
    socket->flush();
    return socket;
  }

  void answerAll()
  {
    for (const auto& it : std::exchange(pending, {})) {
      it->respond({ 200, {}, "ok", true });
    }
  }

  TimerService timers;
  std::deque<ResponderPtr> pending;
  std::unique_ptr<HttpListener> listener;
};

} // namespace

TEST_CASE("at the limit a new connection waits while all others have requests")
{
  Fixture fixture;
  std::vector<std::unique_ptr<QTcpSocket>> callers;
  for (std::size_t i = 0; i < 2 * kLimit; ++i) {
    callers.push_back(fixture.connect());
  }
  REQUIRE(runUntil(fixture.timers, [&] { return fixture.pending.size() == kLimit; }));
  CHECK_FALSE(runUntil(
    fixture.timers, [&] { return fixture.pending.size() > kLimit; }, kIdle));
  CHECK(fixture.listener->connectionCount() == kLimit);
  // A caller leaves, and the next one is served.
  callers.front()->abort();
  CHECK(runUntil(fixture.timers, [&] { return fixture.pending.size() == kLimit + 1; }));
  CHECK(fixture.listener->connectionCount() == kLimit);
}

TEST_CASE("at the limit a new connection takes the place of the one idle for longest")
{
  Fixture fixture;
  std::vector<std::unique_ptr<QTcpSocket>> callers;
  for (std::size_t i = 0; i < kLimit; ++i) {
    callers.push_back(fixture.connect());
    REQUIRE(runUntil(fixture.timers, [&] { return fixture.pending.size() == 1; }));
    fixture.answerAll();
    CHECK_FALSE(runUntil(
      fixture.timers, [] { return false; }, kIdle));
  }
  const auto newest = fixture.connect();
  REQUIRE(runUntil(fixture.timers, [&] { return fixture.pending.size() == 1; }));
  CHECK(fixture.listener->connectionCount() == kLimit);
  REQUIRE(runUntil(fixture.timers, [&] {
    return callers[0]->state() == QAbstractSocket::UnconnectedState;
  }));
  CHECK(callers[1]->state() == QAbstractSocket::ConnectedState);
  CHECK(callers[2]->state() == QAbstractSocket::ConnectedState);
}

TEST_CASE("a listener at its limit stops accepting at once")
{
  Fixture fixture;
  std::vector<std::unique_ptr<QTcpSocket>> callers;
  for (std::size_t i = 0; i < 2 * kLimit; ++i) {
    callers.push_back(fixture.connect());
  }
  REQUIRE(runUntil(fixture.timers, [&] { return fixture.pending.size() == kLimit; }));
  fixture.listener->stopAccepting();
  CHECK(fixture.listener->connectionCount() == kLimit);
}

TEST_CASE("connections to upstreams stay within a limit for all of them")
{
  constexpr int kUpstreams = 6;
  TimerService timers;
  UpstreamConnectionPool pool(timers, 2);
  pool.setMaxConnections(kLimit);
  std::vector<std::unique_ptr<QTcpServer>> servers;
  for (int i = 0; i < kUpstreams; ++i) {
    servers.push_back(std::make_unique<QTcpServer>());
    auto* const server = servers.back().get();
    QObject::connect(server, &QTcpServer::newConnection, server, [server] {
      auto* const socket = server->nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] {
        socket->readAll();
        socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      });
    });
    server->listen(QHostAddress::LocalHost);
  }
  int answered = 0;
  for (const auto& it : servers) {
    Exchange exchange;
    exchange.host = QHostAddress(QHostAddress::LocalHost);
    exchange.port = it->serverPort();
    exchange.request.method = "GET";
    exchange.request.target = std::string("/");
    exchange.connectTimeout = kTimeout;
    exchange.timeout = kTimeout;
    exchange.done = [&](const ExchangeResult& aResult) {
      CHECK_FALSE(aResult.error);
      ++answered;
    };
    const auto before = answered;
    pool.start(std::move(exchange));
    REQUIRE(runUntil(timers, [&] { return answered == before + 1; }));
    CHECK(pool.connectionCount() <= kLimit);
  }
  CHECK(pool.connectionCount() == kLimit);
}
