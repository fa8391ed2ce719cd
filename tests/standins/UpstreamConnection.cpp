#include "UpstreamConnection.h"
#include <http/Serializer.h>

namespace masticwall::standin {

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
    const auto behaviour =
      std::string(http::findHeader(request.value()->headers, "Test-Behaviour"));
    mUpstream.handle(
      *request.value(),
      [self = shared_from_this(), behaviour](const http::Response& aResponse) {
        self->answer(behaviour, aResponse);
      });
  }
}

void
UpstreamConnection::answer(const std::string& aBehaviour, const http::Response& aResponse)
{
  auto bytes = http::serialize(aResponse, false, false);
  if (aBehaviour == "silent") {
    return;
  }
  if (aBehaviour == "close") {
    mSocket->abort();
    return;
  }
  if (aBehaviour == "truncate") {
    bytes.chop(3);
    mSocket->write(bytes);
    mSocket->disconnectFromHost();
    return;
  }
  if (aBehaviour == "surplus") {
    bytes += "surplus";
  }
  if (aBehaviour == "double") {
    bytes += bytes;
  }
  if (aBehaviour == "malformed") {
    bytes = "HTTP/1.1 two hundred\r\n\r\n";
  }
  mSocket->write(bytes);
}

} // namespace masticwall::standin
