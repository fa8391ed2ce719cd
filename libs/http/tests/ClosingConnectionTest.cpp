#include <QEventLoop>
#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <core/Bytes.h>
#include <deque>
#include <http/HttpListener.h>

using namespace masticwall;
using namespace masticwall::http;

// Guards against a planned stop that cuts off callers which always have a request on its
// way, and against resets that destroy the last response of a connection.

namespace {

const QByteArray kRequest = "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n";
constexpr Duration kTimeout = 10s;

/** A listener whose requests are answered when the test says so. */
class Server
{
public:
  Server()
  {
    auto listener = HttpListener::listen(
      timers,
      QHostAddress(QHostAddress::LocalHost),
      0,
      HttpListenerSettings{},
      [this](const Request&, ResponderPtr aResponder) {
        ++requests;
        pending.push_back(std::move(aResponder));
      },
      [](const std::error_code&) {
        return Response{ 400, {}, {}, false };
      });
    REQUIRE(listener.has_value());
    mListener = std::move(listener.value());
  }

  HttpListener& listener() { return *mListener; }

  void answerNext()
  {
    const auto responder = pending.front();
    pending.pop_front();
    responder->respond({ 200, {}, "ok", true });
  }

  /** Runs the event loop until the condition holds; false after a timeout. */
  bool waitUntil(const std::function<bool()>& aCondition)
  {
    QEventLoop loop;
    const auto check = timers.scheduleEvery(1ms, [&] {
      if (aCondition()) {
        loop.quit();
      }
    });
    bool isLate = false;
    const auto timeout = timers.scheduleAfter(kTimeout, [&] {
      isLate = true;
      loop.quit();
    });
    loop.exec();
    return !isLate;
  }

  TimerService timers;
  std::deque<ResponderPtr> pending;
  int requests = 0;

private:
  std::unique_ptr<HttpListener> mListener;
};

class Client
{
public:
  explicit Client(Server& aServer)
  {
    QObject::connect(&mSocket, &QTcpSocket::readyRead, &mSocket, [this] {
      received += mSocket.readAll();
    });
    QObject::connect(&mSocket, &QTcpSocket::errorOccurred, &mSocket, [this] {
      wasReset = mSocket.error() != QAbstractSocket::RemoteHostClosedError;
    });
    mSocket.connectToHost(QHostAddress(QHostAddress::LocalHost),
                          aServer.listener().port());
    REQUIRE(mSocket.waitForConnected());
  }

  void send(const QByteArray& aBytes)
  {
    mSocket.write(aBytes);
    mSocket.flush();
  }

  bool isClosed() const { return mSocket.state() == QAbstractSocket::UnconnectedState; }
  qsizetype answers() const { return received.count("HTTP/1.1 200"); }

  QByteArray received;
  bool wasReset = false;

private:
  QTcpSocket mSocket;
};

} // namespace

TEST_CASE("a draining connection with a request always on its way is closed in order")
{
  Server server;
  Client client(server);
  client.send(kRequest + kRequest);
  REQUIRE(server.waitUntil([&] { return server.requests == 2; }));
  server.listener().closeAfterResponses();
  // The caller goes on; what it sends now is not read.
  client.send(kRequest);
  server.answerNext();
  REQUIRE(server.waitUntil([&] { return client.answers() == 1; }));
  CHECK_FALSE(client.received.toLower().contains("connection: close"));
  client.send(kRequest);
  server.answerNext();
  REQUIRE(server.waitUntil([&] { return client.isClosed(); }));
  CHECK(client.answers() == 2);
  CHECK(client.received.toLower().count("connection: close") == 1);
  CHECK_FALSE(client.wasReset);
  CHECK(server.requests == 2);
  CHECK(server.waitUntil([&] { return server.listener().connectionCount() == 0; }));
}

TEST_CASE("a request that is half read when the drain begins is answered if it is alone")
{
  Server server;
  Client client(server);
  client.send("POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nab");
  REQUIRE(server.waitUntil([&] { return server.listener().connectionCount() == 1; }));
  server.listener().closeAfterResponses();
  client.send("cd");
  REQUIRE(server.waitUntil([&] { return server.requests == 1; }));
  server.answerNext();
  REQUIRE(server.waitUntil([&] { return client.isClosed(); }));
  CHECK(client.answers() == 1);
  CHECK(client.received.toLower().contains("connection: close"));
}

TEST_CASE("a request that is half read behind another when the drain begins is not run")
{
  Server server;
  Client client(server);
  client.send(kRequest);
  client.send("POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nab");
  REQUIRE(server.waitUntil([&] { return server.requests == 1; }));
  server.listener().closeAfterResponses();
  client.send("cd");
  server.answerNext();
  REQUIRE(server.waitUntil([&] { return client.isClosed(); }));
  CHECK(client.answers() == 1);
  CHECK_FALSE(client.wasReset);
  CHECK(server.requests == 1);
}

TEST_CASE("bytes that arrive behind the last request don't reset the connection")
{
  Server server;
  Client client(server);
  client.send("GET /a HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n");
  REQUIRE(server.waitUntil([&] { return server.requests == 1; }));
  client.send(kRequest + QByteArray(256 * kKiB, 'x'));
  server.answerNext();
  REQUIRE(server.waitUntil([&] { return client.isClosed(); }));
  CHECK(client.answers() == 1);
  CHECK_FALSE(client.wasReset);
  CHECK(server.requests == 1);
}

TEST_CASE("a caller that neither reads on nor closes does not keep the connection")
{
  Server server;
  Client client(server);
  client.send(kRequest);
  REQUIRE(server.waitUntil([&] { return server.requests == 1; }));
  server.listener().closeAfterResponses();
  server.answerNext();
  // It sends without end instead of closing.
  const auto sending = server.timers.scheduleEvery(1ms, [&] {
    if (!client.isClosed()) {
      client.send(QByteArray(64 * kKiB, 'x'));
    }
  });
  CHECK(server.waitUntil([&] { return server.listener().connectionCount() == 0; }));
  CHECK(client.answers() == 1);
}
