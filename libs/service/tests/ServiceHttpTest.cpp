#include <EndlessServer.h>
#include <PeakMemory.h>
#include <QCoreApplication>
#include <QEventLoop>
#include <catch2/catch.hpp>
#include <optional>
#include <runtime/TimerService.h>
#include <service/ServiceError.h>
#include <service/ServiceHttp.h>

using namespace masticwall;
using namespace masticwall::test;

namespace {

constexpr Duration kTimeout{ 500ms };

/** The target for a node's control, whatever its services send. */
constexpr qint64 kMaxPeakKb = 128'000'000 / kKiB;

/** The sockets of both sides buffer a few MB on loopback. */
constexpr qint64 kMaxSocketBytes = 16 * qint64{ kMiB };

/** Serves one response to each request. */
class FixedServer
{
public:
  explicit FixedServer(QByteArray aResponse)
    : mResponse(std::move(aResponse))
  {
    QObject::connect(&mServer, &QTcpServer::newConnection, &mServer, [this] {
      auto* const socket = mServer.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
        requests += socket->readAll();
        socket->write(mResponse);
      });
    });
    mServer.listen(QHostAddress::LocalHost);
  }

  std::uint16_t port() const { return mServer.serverPort(); }

  QByteArray requests;

private:
  QTcpServer mServer;
  QByteArray mResponse;
};

QUrl
urlOf(std::uint16_t aPort)
{
  return { QStringLiteral("http://127.0.0.1:%1/path?a=b").arg(aPort) };
}

/** The result of a request; empty if it has none after ten of its timeouts. */
template<class Start>
std::optional<Result<QByteArray>>
run(Start aStart)
{
  std::optional<Result<QByteArray>> result;
  QEventLoop loop;
  TimerService timers;
  const auto giveUp = timers.scheduleAfter(10 * kTimeout, [&] { loop.quit(); });
  aStart([&](Result<QByteArray> aResult) {
    result = std::move(aResult);
    loop.quit();
  });
  if (!result.has_value()) {
    loop.exec();
  }
  return result;
}

std::optional<Result<QByteArray>>
get(ServiceHttp& aHttp, std::uint16_t aPort)
{
  return run([&](auto aDone) { aHttp.get(urlOf(aPort), kTimeout, aDone); });
}

QByteArray
withHead(const QByteArray& aLines, const QByteArray& aBody)
{
  return "HTTP/1.1 200 OK\r\n" + aLines +
         "Content-Length: " + QByteArray::number(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

TEST_CASE("a service that sends bytes without end is cut off, and the request fails")
{
  for (const auto& script : endlessScripts()) {
    CAPTURE(script.name);
    EndlessServer server(script);
    ServiceHttp http;
    REQUIRE(resetOwnPeakMemory());
    const auto result = get(http, server.port());
    const bool hasFailed = result.has_value() && result->has_error();
    CHECK(hasFailed);
    CHECK(peakMemoryKb(QCoreApplication::applicationPid()) < kMaxPeakKb);
    // The service is not read any more, whatever else becomes of the connection.
    const auto sent = server.bytesSent;
    QEventLoop loop;
    TimerService timers;
    const auto later = timers.scheduleAfter(100ms, [&] { loop.quit(); });
    loop.exec();
    CHECK(server.bytesSent < sent + kMaxSocketBytes);
  }
}

TEST_CASE("a service's broken response is none")
{
  for (const auto& it : { QByteArray("HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n"),
                          withHead("X Y: 1\r\n", "odd"),
                          withHead("X: 1\r\n Y: 2\r\n", "odd"),
                          withHead("Transfer-Encoding: gzip\r\n", "odd") }) {
    CAPTURE(it.toStdString());
    FixedServer server(it);
    ServiceHttp http;
    const auto result = get(http, server.port());
    REQUIRE(result.has_value());
    CHECK(result->has_error());
  }
}

TEST_CASE("requests to services get the body, the status and the entity tag")
{
  ServiceHttp http;
  FixedServer server(withHead("ETag: \"7\"\r\n", "text"));
  CHECK(get(http, server.port())->value() == "text");
  CHECK(server.requests.startsWith("GET /path?a=b HTTP/1.1\r\n"));

  QByteArray tag = "\"6\"";
  const auto changed = run(
    [&](auto aDone) { http.getIfChanged(urlOf(server.port()), tag, kTimeout, aDone); });
  CHECK(changed->value() == "text");
  CHECK(server.requests.contains("If-None-Match: \"6\"\r\n"));
  CHECK(tag == "\"7\"");

  const auto posted =
    run([&](auto aDone) { http.post(urlOf(server.port()), "body", kTimeout, aDone); });
  CHECK(posted->value() == "text");
  CHECK(server.requests.endsWith("\r\n\r\nbody"));
  CHECK(server.requests.contains("Content-Type: application/octet-stream\r\n"));

  const QUrl named(QStringLiteral("http://localhost:%1/").arg(server.port()));
  const auto unreachable = run([&](auto aDone) { http.get(named, kTimeout, aDone); });
  REQUIRE(unreachable.has_value());
  CHECK(unreachable->error() == ServiceError::Unreachable);

  FixedServer unchanged("HTTP/1.1 304 Not Modified\r\n\r\n");
  CHECK(get(http, unchanged.port())->error() == ServiceError::NotModified);
  FixedServer refusing("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
  CHECK(get(http, refusing.port())->error() == ServiceError::Refused);
  FixedServer cut("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ntext");
  CHECK(get(http, cut.port())->error() == ServiceError::Unreachable);
}
