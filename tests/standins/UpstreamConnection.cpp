#include "UpstreamConnection.h"
#include <QTimer>
#include <core/Bytes.h>
#include <http/Serializer.h>

namespace masticwall::standin {

namespace {

/** Written at a time by a response without end. */
constexpr qint64 kEndlessBytes = 64 * kKiB;

} // namespace

UpstreamConnection::UpstreamConnection(Upstream& aUpstream, QTcpSocket* aSocket)
  : mUpstream(aUpstream)
  , mSocket(aSocket)
{
  mParser.emplace(http::MessageLimits{});
}

UpstreamConnection::~UpstreamConnection()
{
  mSocket->disconnect();
  mSocket->deleteLater();
}

void
UpstreamConnection::start()
{
  mSocket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  const auto self = shared_from_this();
  // The socket's connections keep this object until the socket disconnects.
  QObject::connect(
    mSocket, &QTcpSocket::readyRead, mSocket, [self] { self->onReadable(); });
  QObject::connect(mSocket, &QTcpSocket::disconnected, mSocket, [self] {
    QMetaObject::invokeMethod(
      self->mSocket, [self] { self->mSocket->disconnect(); }, Qt::QueuedConnection);
  });
}

void
UpstreamConnection::onReadable()
{
  mBytes += mSocket->readAll();
  while (!mBytes.isEmpty()) {
    auto request = mParser->feed(mBytes);
    if (request.has_error()) {
      mSocket->abort();
      return;
    }
    if (!request.value().has_value()) {
      return;
    }
    mParser.emplace(http::MessageLimits{});
    const auto whole = std::move(*request.value());
    mSocket->write(std::exchange(mLateCopy, {}));
    mUpstream.handle(whole,
                     [self = shared_from_this(), whole](const http::Response& aResponse) {
                       self->answer(whole, aResponse);
                     });
  }
}

void
UpstreamConnection::answer(const http::Request& aRequest, const http::Response& aResponse)
{
  const auto behaviour = http::findHeader(aRequest.headers, "Test-Behaviour");
  auto bytes = http::serialize(aResponse, aRequest.method == "HEAD", false);
  if (behaviour == "silent") {
    return;
  }
  if (const auto raw = mUpstream.rawAnswerTo(aRequest)) {
    sendRaw(*raw);
    return;
  }
  if (behaviour == "endless") {
    auto head = aResponse;
    head.keepAlive = false;
    // Without a length: the body would end with the connection.
    auto bytesOfHead = http::serialize(head, true, false);
    bytesOfHead.replace(QByteArrayLiteral("Content-Length: "),
                        QByteArrayLiteral("X-Length: "));
    sendRaw({ bytesOfHead, QByteArray(kEndlessBytes, 'e') });
    return;
  }
  if (behaviour == "close") {
    mSocket->abort();
    return;
  }
  if (behaviour == "truncate") {
    bytes.chop(3);
    mSocket->write(bytes);
    mSocket->disconnectFromHost();
    return;
  }
  const bool isHealth = aRequest.target == "/health";
  if (behaviour == "late-copy" || (isHealth && mUpstream.copiesHealth())) {
    mLateCopy = bytes;
  }
  if (behaviour == "late-copy-leaving") {
    auto copy = aResponse;
    copy.headers.push_back({ "Server-Leaving", "1" });
    mLateCopy = http::serialize(copy, false, false);
  }
  if (behaviour == "surplus") {
    bytes += "surplus";
  }
  if (behaviour == "double") {
    bytes += bytes;
  }
  if (behaviour == "malformed") {
    bytes = "HTTP/1.1 two hundred\r\n\r\n";
  }
  mSocket->write(bytes);
}

void
UpstreamConnection::sendRaw(const RawAnswer& aAnswer)
{
  mSocket->write(aAnswer.bytes);
  if (aAnswer.unit.isEmpty()) {
    return;
  }
  const auto sendUnits = [self = shared_from_this(), unit = aAnswer.unit] {
    while (self->mSocket->state() == QAbstractSocket::ConnectedState &&
           self->mSocket->bytesToWrite() < kEndlessBytes) {
      self->mSocket->write(unit);
    }
  };
  const auto pause = static_cast<int>(toMilliseconds(aAnswer.pause));
  QTimer::singleShot(pause, mSocket, [socket = mSocket, sendUnits] {
    QObject::connect(socket, &QTcpSocket::bytesWritten, socket, sendUnits);
    sendUnits();
  });
}

} // namespace masticwall::standin
