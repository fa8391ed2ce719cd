#include "BackConnection.h"
#include <http/BackError.h>
#include <http/Serializer.h>

namespace masticwall::http {

BackConnection::BackConnection(TimerService& aTimers,
                               const QHostAddress& aHost,
                               std::uint16_t aPort,
                               Observer aObserver)
  : mTimers(aTimers)
  , mSocket(new QTcpSocket)
  , mHost(aHost)
  , mPort(aPort)
  , mObserver(std::move(aObserver))
{
}

BackConnection::~BackConnection()
{
  mSocket->disconnect();
  mSocket->deleteLater();
}

void
BackConnection::carry(std::uint64_t aId, Exchange aExchange)
{
  mId = aId;
  mExchange = std::move(aExchange);
  mIsWritten = false;
  if (mIsConnected) {
    write();
    return;
  }
  connectSignals();
  const std::weak_ptr<BackConnection> weak = weak_from_this();
  mTimeout = mTimers.subscribeIn(mExchange->connectTimeout, [weak] {
    if (const auto self = weak.lock()) {
      self->finish(BackError::ConnectTimeout, {});
    }
  });
  mSocket->connectToHost(mHost, mPort);
}

void
BackConnection::abandon()
{
  mExchange.reset();
  shut();
}

void
BackConnection::connectSignals()
{
  const std::weak_ptr<BackConnection> weak = weak_from_this();
  const auto forward = [weak](void (BackConnection::*aSlot)()) {
    return [weak, aSlot] {
      if (const auto self = weak.lock()) {
        ((*self).*aSlot)();
      }
    };
  };
  QObject::connect(
    mSocket, &QTcpSocket::connected, mSocket, forward(&BackConnection::onConnected));
  QObject::connect(
    mSocket, &QTcpSocket::readyRead, mSocket, forward(&BackConnection::onReadable));
  QObject::connect(
    mSocket, &QTcpSocket::disconnected, mSocket, forward(&BackConnection::onBroken));
  QObject::connect(
    mSocket, &QTcpSocket::errorOccurred, mSocket, forward(&BackConnection::onBroken));
}

void
BackConnection::onConnected()
{
  mIsConnected = true;
  mLastAlive = mTimers.now();
  mSocket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  write();
}

void
BackConnection::write()
{
  if (mExchange->mayWrite != nullptr && !mExchange->mayWrite()) {
    const std::weak_ptr<BackConnection> weak = weak_from_this();
    mTimeout = mTimers.subscribeIn(Duration{ 0 }, [weak] {
      if (const auto self = weak.lock()) {
        self->finish(BackError::Withdrawn, {});
      }
    });
    return;
  }
  mIsWritten = true;
  mParser.emplace(mExchange->limits, mExchange->request.method == "HEAD");
  const std::weak_ptr<BackConnection> weak = weak_from_this();
  mTimeout = mTimers.subscribeIn(mExchange->timeout, [weak] {
    if (const auto self = weak.lock()) {
      self->finish(BackError::Timeout, {});
    }
  });
  mSocket->write(serialize(mExchange->request));
  mSocket->flush();
}

void
BackConnection::onReadable()
{
  mBytes += mSocket->readAll();
  if (!mExchange.has_value() || !mIsWritten) {
    // Nothing was asked: a late or surplus answer, which must not meet a later request.
    shut();
    return;
  }
  auto response = mParser->feed(mBytes);
  if (response.has_error()) {
    finish(BackError::BadAnswer, {});
    return;
  }
  if (!response.value().has_value()) {
    return;
  }
  mLastAlive = mTimers.now();
  if (!mBytes.isEmpty()) {
    // More than was asked for: neither part can be trusted to be the answer.
    finish(BackError::BadAnswer, {});
    return;
  }
  finish({}, std::move(*response.value()));
}

void
BackConnection::onBroken()
{
  if (!mExchange.has_value()) {
    shut();
    return;
  }
  finish(mIsConnected ? BackError::Closed : BackError::ConnectFailed, {});
}

void
BackConnection::finish(std::error_code aError, Response aResponse)
{
  if (!mExchange.has_value()) {
    return;
  }
  const auto self = shared_from_this();
  mTimeout.cancel();
  const auto done = std::move(mExchange->done);
  mExchange.reset();
  const bool isReusable = !aError && aResponse.keepAlive;
  if (!isReusable) {
    shut();
  } else {
    mObserver(*this);
  }
  done({ aError, mIsWritten, std::move(aResponse) });
}

void
BackConnection::shut()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  mTimeout.cancel();
  mSocket->disconnect();
  mSocket->abort();
  mObserver(*this);
}

} // namespace masticwall::http
