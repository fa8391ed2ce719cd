#include <QEventLoop>
#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <deque>
#include <http/HttpErrorStatus.h>
#include <http/HttpListener.h>

using namespace masticwall;
using namespace masticwall::http;

// Guards against bodies of requests that are each within their limit and together take
// the memory of the process.

namespace {

constexpr std::size_t kBudget = 100'000;
constexpr Duration kTimeout = 10s;

bool
runUntil(TimerService& aTimers, const std::function<bool()>& aCondition)
{
  QEventLoop loop;
  bool isMet = false;
  const auto check = aTimers.scheduleEvery(1ms, [&] {
    if (aCondition()) {
      isMet = true;
      loop.quit();
    }
  });
  const auto timeout = aTimers.scheduleAfter(kTimeout, [&] { loop.quit(); });
  loop.exec();
  return isMet;
}

QByteArray
headWithLength(std::uint64_t aLength, const QByteArray& aMore = {})
{
  return "POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: " +
         QByteArray::number(static_cast<qulonglong>(aLength)) + "\r\n" + aMore + "\r\n";
}

QByteArray
chunk(int aLength)
{
  return QByteArray::number(aLength, 16) + "\r\n" + QByteArray(aLength, 'b') + "\r\n";
}

const QByteArray kExpect = "Expect: 100-continue\r\n";
const QByteArray kChunked =
  "POST /a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n";

class Fixture
{
public:
  explicit Fixture(std::size_t aLimit = kBudget)
    : bodies(std::make_shared<ByteBudget>(aLimit))
  {
    auto created = HttpListener::listen(
      timers,
      QHostAddress(QHostAddress::LocalHost),
      0,
      {},
      [this](Request aRequest, ResponderPtr aResponder) {
        requests.push_back(std::move(aRequest));
        responders.push_back(std::move(aResponder));
      },
      [](const std::error_code& aError) {
        return Response{
          statusOf(static_cast<HttpError>(aError.value())), {}, {}, false
        };
      },
      nullptr,
      std::make_shared<ByteBudget>(kMiB),
      bodies);
    REQUIRE(created.has_value());
    listener = std::move(created.value());
  }

  std::unique_ptr<QTcpSocket> send(const QByteArray& aBytes)
  {
    auto socket = std::make_unique<QTcpSocket>();
    socket->connectToHost(QHostAddress(QHostAddress::LocalHost), listener->port());
    REQUIRE(socket->waitForConnected());
    socket->write(aBytes);
    socket->flush();
    return socket;
  }

  /** Waits for the beginning of what the listener writes. */
  QByteArray receive(QTcpSocket& aSocket)
  {
    QByteArray bytes;
    runUntil(timers, [&] {
      bytes += aSocket.readAll();
      return bytes.contains("\r\n\r\n");
    });
    return bytes.left(12);
  }

  bool waitForUsed(std::int64_t aBytes)
  {
    return runUntil(timers, [&] { return bodies->used() == aBytes; });
  }

  bool waitForRequests(std::size_t aCount)
  {
    return runUntil(timers, [&] { return requests.size() == aCount; });
  }

  TimerService timers;
  std::shared_ptr<ByteBudget> bodies;
  std::deque<Request> requests;
  std::deque<ResponderPtr> responders;
  std::unique_ptr<HttpListener> listener;
};

} // namespace

TEST_CASE("a body that has no room beside the others is refused before it is sent")
{
  Fixture fixture;
  const auto first = fixture.send(headWithLength(80'000) + QByteArray(1000, 'b'));
  REQUIRE(fixture.waitForUsed(80'000));
  for (const auto& more : { QByteArray(), kExpect }) {
    const auto second = fixture.send(headWithLength(30'000, more));
    CHECK(fixture.receive(*second) == "HTTP/1.1 503");
  }
  CHECK(fixture.bodies->used() == 80'000);
  // What fits is served, also without a body.
  const auto small = fixture.send(headWithLength(20'000) + QByteArray(20'000, 'b'));
  const auto empty = fixture.send("GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n");
  REQUIRE(fixture.waitForRequests(2));
  first->write(QByteArray(79'000, 'b'));
  first->flush();
  REQUIRE(fixture.waitForRequests(3));
  CHECK(fixture.requests.back().body.size() == 80'000);
}

TEST_CASE("a caller that stops in the middle of its body gives its room back")
{
  Fixture fixture;
  auto first = fixture.send(headWithLength(90'000) + QByteArray(1000, 'b'));
  REQUIRE(fixture.waitForUsed(90'000));
  first->abort();
  REQUIRE(fixture.waitForUsed(0));
  const auto second = fixture.send(headWithLength(90'000, kExpect));
  CHECK(fixture.receive(*second) == "HTTP/1.1 100");
  second->write(QByteArray(90'000, 'b'));
  second->flush();
  CHECK(fixture.waitForRequests(1));
}

TEST_CASE("a body keeps its room until nobody holds the request")
{
  Fixture fixture;
  const auto caller = fixture.send(headWithLength(60'000) + QByteArray(60'000, 'b'));
  REQUIRE(fixture.waitForRequests(1));
  CHECK(fixture.bodies->used() == 60'000);
  auto copy = fixture.requests.front();
  fixture.requests.clear();
  fixture.responders.front()->respond({ 200, {}, "ok", true });
  CHECK(fixture.receive(*caller) == "HTTP/1.1 200");
  CHECK(fixture.bodies->used() == 60'000);
  copy = {};
  CHECK(fixture.bodies->used() == 0);
}

TEST_CASE("a body in chunks takes room as it grows, and is refused where the room ends")
{
  Fixture fixture;
  const auto first = fixture.send(kChunked + chunk(30'000) + chunk(30'000));
  REQUIRE(fixture.waitForUsed(60'000));
  const auto second = fixture.send(kChunked + chunk(30'000));
  REQUIRE(fixture.waitForUsed(90'000));
  second->write(chunk(30'000));
  second->flush();
  CHECK(fixture.receive(*second) == "HTTP/1.1 503");
  REQUIRE(fixture.waitForUsed(60'000));
  first->write(chunk(30'000) + "0\r\n\r\n");
  first->flush();
  REQUIRE(fixture.waitForRequests(1));
  CHECK(fixture.requests.front().body.size() == 90'000);
}

TEST_CASE("a length beyond the limit of one body is refused for good, whatever it is")
{
  Fixture fixture(64 * kMiB);
  for (const auto length : { std::uint64_t{ kMiB + 1 },
                             std::uint64_t{ 1 } << 62U,
                             ~std::uint64_t{ 0 } - 1 }) {
    const auto caller = fixture.send(headWithLength(length) + QByteArray(1000, 'b'));
    CHECK(fixture.receive(*caller) == "HTTP/1.1 413");
  }
  CHECK(fixture.bodies->used() == 0);
}
