#include "SoakCaller.h"
#include "GatewaySystem.h"
#include "TestCaller.h"
#include <QByteArray>
#include <array>
#include <core/Bytes.h>
#include <http/Serializer.h>

namespace masticwall::test {

namespace {

constexpr double kOrders = 0.4; ///< share of the requests
constexpr double kPipeliningCallers = 0.3;
constexpr double kLeaving = 0.01; ///< share of the requests whose caller leaves
constexpr double kBroken =
  0.03; ///< share of the requests whose upstream breaks its answer
constexpr std::size_t kMaxUnanswered = 4;
constexpr int kMeanServiceMs = 20;
constexpr Duration kMaxPause = 60ms;
constexpr Duration kReconnectDelay = 50ms;
/** Beyond the route's timeout of 2 s. */
constexpr Duration kMaxWait = 6s;

http::Request
makeSoakRequest(const SoakRequest& aRequest, int aServiceMs)
{
  return makeRequest(aRequest.isOrder ? "POST" : "GET",
                     (aRequest.isOrder ? "/order/" : "/read/") + aRequest.id,
                     { { "Host", "a.example" },
                       { "Masticwall-Request-Id", aRequest.id },
                       { "Masticwall-Request-Deadline", "2000" },
                       { "Test-Service-Ms", std::to_string(aServiceMs) } });
}

/** Answers that must not reach a caller, as Test-Raw-Answer asks for them. */
const std::array<QByteArray, 4> kBrokenAnswers{
  "HTTP/1.1 000 Odd\r\n{signs}Content-Length: 3\r\n\r\nodd",
  "HTTP/1.1 200 OK\r\n{signs}X Odd: 1\r\nContent-Length: 3\r\n\r\nodd",
  "HTTP/1.1 200 OK\r\n{signs}X-Odd: 1\r\n 2\r\nContent-Length: 3\r\n\r\nodd",
  "HTTP/1.1 200 OK\r\n{signs}Transfer-Encoding: gzip\r\nContent-Length: 3\r\n\r\nodd",
};

std::string
expectedBody(const SoakRequest& aRequest)
{
  return (aRequest.isOrder ? "POST /order/" : "GET /read/") + aRequest.id + '\n';
}

} // namespace

SoakCaller::SoakCaller(TimerService& aTimers,
                       int aNumber,
                       std::uint64_t aSeed,
                       Balancer aBalancer,
                       AddressOf aAddressOf,
                       Sink aSink)
  : mTimers(aTimers)
  , mName("c" + std::to_string(aNumber))
  , mRandom(aSeed * 1000 + static_cast<std::uint64_t>(aNumber))
  , mBalancer(std::move(aBalancer))
  , mAddressOf(std::move(aAddressOf))
  , mSink(std::move(aSink))
  , mIsPipelining(draw(kPipeliningCallers))
{
}

SoakCaller::~SoakCaller()
{
  if (mSocket != nullptr) {
    mSocket->disconnect();
  }
}

void
SoakCaller::start()
{
  connect();
}

void
SoakCaller::connect()
{
  mGateway = mBalancer();
  mIsClosing = false;
  mBytes.clear();
  mParser.reset();
  mSocket = std::make_unique<QTcpSocket>();
  QObject::connect(
    mSocket.get(), &QTcpSocket::connected, mSocket.get(), [this] { sendNext(); });
  QObject::connect(
    mSocket.get(), &QTcpSocket::readyRead, mSocket.get(), [this] { onReadable(); });
  const auto onEnd = [this] { onDisconnected(); };
  QObject::connect(
    mSocket.get(), &QTcpSocket::disconnected, mSocket.get(), onEnd, Qt::QueuedConnection);
  QObject::connect(mSocket.get(),
                   &QTcpSocket::errorOccurred,
                   mSocket.get(),
                   onEnd,
                   Qt::QueuedConnection);
  mSocket->connectToHost(mAddressOf(mGateway), GatewaySystem::kFrontPort);
}

void
SoakCaller::scheduleNext(Duration aDelay)
{
  mSendTimer = mTimers.scheduleAfter(aDelay, [this] { sendNext(); });
}

void
SoakCaller::sendNext()
{
  const bool isConnected =
    mSocket != nullptr && mSocket->state() == QAbstractSocket::ConnectedState;
  if (mIsStopped || mIsClosing || !isConnected) {
    return;
  }
  if (mUnanswered.size() >= (mIsPipelining ? kMaxUnanswered : 1)) {
    return;
  }
  SoakRequest request;
  request.id = mName + '-' + std::to_string(mNextRequest++);
  // Only lookups may be sent before earlier requests are answered.
  request.isOrder = !mIsPipelining && draw(kOrders);
  request.gateway = mGateway;
  request.sentAt = mTimers.now();
  const auto serviceMs =
    1 + std::uniform_int_distribution<int>(0, 2 * kMeanServiceMs)(mRandom);
  auto message = makeSoakRequest(request, serviceMs);
  if (draw(kBroken)) {
    const auto& answer = kBrokenAnswers[mNextRequest % kBrokenAnswers.size()];
    message.headers.push_back(
      { "Test-Raw-Answer", answer.toPercentEncoding().toStdString() });
  }
  mSocket->write(http::serialize(message));
  mSocket->flush();
  mUnanswered.push_back(request);
  mGiveUpTimer = mTimers.scheduleAfter(kMaxWait, [this] { leave(); });
  if (draw(kLeaving)) {
    leave();
    return;
  }
  if (mIsPipelining) {
    scheduleNext(Duration(
      std::uniform_int_distribution<Duration::rep>(0, kMaxPause.count())(mRandom)));
  }
}

void
SoakCaller::onReadable()
{
  mBytes += mSocket->readAll();
  while (!mBytes.isEmpty()) {
    if (!mParser.has_value()) {
      mParser.emplace(http::MessageLimits{ 64 * kKiB, kMiB }, false, false);
    }
    auto response = mParser->feed(mBytes);
    if (response.has_error()) {
      onBrokenAnswer();
      return;
    }
    if (!response.value().has_value()) {
      return;
    }
    mParser.reset();
    onAnswer(*response.value());
  }
}

void
SoakCaller::onBrokenAnswer()
{
  SoakRequest request;
  request.id = mName + "-surplus";
  request.gateway = mGateway;
  if (!mUnanswered.empty()) {
    request = mUnanswered.front();
    mUnanswered.pop_front();
  }
  request.isBroken = true;
  finish(request);
  mSocket->abort();
}

void
SoakCaller::onAnswer(const http::Response& aResponse)
{
  if (mUnanswered.empty()) {
    SoakRequest surplus;
    surplus.id = mName + "-surplus";
    surplus.gateway = mGateway;
    surplus.status = aResponse.status;
    finish(surplus); // a success that nobody asked for is not an own answer
    return;
  }
  auto request = mUnanswered.front();
  mUnanswered.pop_front();
  request.status = aResponse.status;
  request.isOwn =
    aResponse.status == 200 && aResponse.body == expectedBody(request) &&
    http::findHeader(aResponse.headers, "Masticwall-Request-Id") == request.id;
  mIsClosing = mIsClosing || !aResponse.keepAlive;
  finish(request);
  if (mUnanswered.empty()) {
    mGiveUpTimer.cancel();
  }
  if (!mIsPipelining) {
    scheduleNext(Duration(
      std::uniform_int_distribution<Duration::rep>(0, kMaxPause.count())(mRandom)));
  } else if (!mSendTimer.isActive()) {
    sendNext();
  }
}

void
SoakCaller::finish(SoakRequest aRequest)
{
  aRequest.endedAt = mTimers.now();
  mSink(aRequest);
}

void
SoakCaller::leave()
{
  for (auto& it : mUnanswered) {
    it.wasGivenUp = true;
  }
  if (mSocket != nullptr) {
    mSocket->abort();
  }
}

void
SoakCaller::onDisconnected()
{
  if (mSocket == nullptr) {
    return;
  }
  if (mSocket->isOpen()) {
    onReadable(); // what came before the end
  }
  for (auto& it : std::exchange(mUnanswered, {})) {
    it.isBehindClose = mIsClosing;
    finish(it);
  }
  mGiveUpTimer.cancel();
  mSocket->disconnect();
  mSocket.release()->deleteLater();
  if (!mIsStopped) {
    mSendTimer = mTimers.scheduleAfter(kReconnectDelay, [this] { connect(); });
  }
}

} // namespace masticwall::test
