#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <core/Bytes.h>
#include <peer/PeerClient.h>
#include <peer/PeerError.h>
#include <peer/PeerServer.h>

using namespace masticwall;

namespace {

/** connectTimeout, pingPeriod, receiveTimeout */
const PeerTimeouts kShortTimeouts{ 5s, 100ms, 1500ms };

Result<QByteArray>
sendRequest(PeerClient& aClient, const QByteArray& aBody, Duration aTimeout = 2s)
{
  QEventLoop loop;
  Result<QByteArray> result = std::error_code();
  aClient.request("/echo", aBody, aTimeout, [&](Result<QByteArray> aResult) {
    result = std::move(aResult);
    loop.quit();
  });
  loop.exec();
  return result;
}

std::unique_ptr<PeerServer>
listen(TimerService& aTimers, PeerServer::Handler aHandler)
{
  auto server = PeerServer::listen(aTimers,
                                   QHostAddress(QHostAddress::LocalHost),
                                   0,
                                   std::move(aHandler),
                                   kShortTimeouts);
  REQUIRE(server.has_value());
  return std::move(server.value());
}

} // namespace

TEST_CASE("requests and replies of any size arrive complete over HTTP/2")
{
  TimerService timers;
  const auto server =
    listen(timers,
           [](const std::string&,
              const QByteArray& aBody,
              const PeerServer::ReplyCallback& aReply) { aReply(aBody); });
  PeerClient client(
    timers, QHostAddress(QHostAddress::LocalHost), server->port(), kShortTimeouts);
  for (const qsizetype size :
       { qsizetype{ 0 }, qsizetype{ 10 }, qsizetype{ 3'000'000 } }) {
    const QByteArray body(size, 'x');
    const auto reply = sendRequest(client, body);
    REQUIRE(reply.has_value());
    CHECK(reply.value() == body);
  }
}

TEST_CASE(
  "a body beyond the limit ends the connection, and the next request opens another")
{
  constexpr qsizetype kTooLarge = 17 * kMiB;
  TimerService timers;
  int requests = 0;
  const auto server =
    listen(timers,
           [&](const std::string&,
               const QByteArray& aBody,
               const PeerServer::ReplyCallback& aReply) {
             ++requests;
             aReply(aBody == "large" ? QByteArray(kTooLarge, 'x') : aBody);
           });
  PeerClient client(
    timers, QHostAddress(QHostAddress::LocalHost), server->port(), kShortTimeouts);
  CHECK(sendRequest(client, "large").error() == PeerError::Lost);
  CHECK(sendRequest(client, "small").value() == "small");
  CHECK(requests == 2);
  CHECK(sendRequest(client, QByteArray(kTooLarge, 'x')).has_error());
  CHECK(requests == 2);
  CHECK(sendRequest(client, "small").value() == "small");
}

TEST_CASE(
  "a refused request, a timeout and a failed connection each have their own error")
{
  TimerService timers;
  auto server = listen(timers,
                       [](const std::string&,
                          const QByteArray& aBody,
                          const PeerServer::ReplyCallback& aReply) {
                         if (aBody == "refuse") {
                           aReply(std::nullopt);
                         }
                       });
  PeerClient client(
    timers, QHostAddress(QHostAddress::LocalHost), server->port(), kShortTimeouts);
  CHECK(sendRequest(client, "refuse").error() == PeerError::Refused);
  CHECK(sendRequest(client, "never", 100ms).error() == PeerError::Timeout);
  const auto port = server->port();
  server.reset();
  PeerClient clientWithoutServer(
    timers, QHostAddress(QHostAddress::LocalHost), port, kShortTimeouts);
  CHECK(sendRequest(clientWithoutServer, "x").error() == PeerError::ConnectFailed);
}

TEST_CASE(
  "a request fails with Silent if the peer sends nothing, not if it only replies late")
{
  TimerService timers;
  QTcpServer silent; // accepts, and never writes a byte
  REQUIRE(silent.listen(QHostAddress::LocalHost));
  PeerClient client(
    timers, QHostAddress(QHostAddress::LocalHost), silent.serverPort(), kShortTimeouts);
  CHECK(sendRequest(client, "x", 10s).error() == PeerError::Silent);

  PeerServer::ReplyCallback sendSlowReply;
  const auto server = listen(
    timers,
    [&](const std::string&, const QByteArray&, const PeerServer::ReplyCallback& aReply) {
      sendSlowReply = aReply;
    });
  PeerClient slowClient(
    timers, QHostAddress(QHostAddress::LocalHost), server->port(), kShortTimeouts);
  auto delayedReply =
    timers.scheduleAfter(2500ms, [&] { sendSlowReply(QByteArray("late")); });
  CHECK(sendRequest(slowClient, "x", 10s).value() == "late");
}
