#include "BackConnection.h"
#include <http/BackError.h>
#include <http/Serializer.h>
#include <poll.h>

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
  mTimeout = mTimers.scheduleAfter(mExchange->connectTimeout, [weak] {
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
    mTimeout = mTimers.scheduleAfter(Duration{ 0 }, [weak] {
      if (const auto self = weak.lock()) {
        self->finish(BackError::Withdrawn, {});
      }
    });
    return;
  }
  mIsWritten = true;
  beginParsing();
  const std::weak_ptr<BackConnection> weak = weak_from_this();
  mTimeout = mTimers.scheduleAfter(mExchange->timeout, [weak] {
    if (const auto self = weak.lock()) {
      self->finish(BackError::Timeout, {});
    }
  });
  mSocket->write(serialize(mExchange->request));
  mSocket->flush();
}

void
BackConnection::beginParsing()
{
  mParser.emplace(mExchange->limits,
                  mExchange->request.method == "HEAD",
                  mExchange->mayEndWithConnection);
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
  while (mExchange.has_value()) {
    auto response = mParser->feed(mBytes);
    if (response.has_error()) {
      finish(BackError::BadAnswer, {});
      return;
    }
    if (!response.value().has_value()) {
      return;
    }
    onResponse(std::move(*response.value()));
  }
}

void
BackConnection::onResponse(Response aResponse)
{
  mLastAlive = mTimers.now();
  mIdleLimit = aResponse.idleLimit.value_or(mIdleLimit);
  const auto& isMatchingResponse = mExchange->isMatchingResponse;
  if (isMatchingResponse != nullptr && !isMatchingResponse(aResponse)) {
    // A late or surplus answer to another request; this one's may still follow.
    mIsSpoilt = true;
    beginParsing();
    return;
  }
  mIsSpoilt = mIsSpoilt || !mBytes.isEmpty();
  if (mIsSpoilt && isMatchingResponse == nullptr) {
    // More than was asked for: neither part can be trusted to be the answer.
    finish(BackError::BadAnswer, {});
    return;
  }
  finish({}, std::move(aResponse));
}

bool
BackConnection::wasReset() const
{
  // Qt reports a reset and an orderly end alike.
  pollfd entry{ static_cast<int>(mSocket->socketDescriptor()), POLLIN, 0 };
  return entry.fd < 0 || poll(&entry, 1, 0) < 0 ||
         (entry.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0;
}

void
BackConnection::onBroken()
{
  if (!mExchange.has_value()) {
    shut();
    return;
  }
  if (mIsWritten && mExchange->mayEndWithConnection && !wasReset()) {
    mBytes += mSocket->readAll();
    auto response = mParser->feed(mBytes);
    auto whole = mParser->finish();
    if (response.has_value() && whole.has_value()) {
      whole.value().keepAlive = false;
      onResponse(std::move(whole.value()));
      // Not ours, and nothing more can come.
      finish(BackError::Closed, {});
      return;
    }
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
  const bool isReusable = !aError && aResponse.keepAlive && !mIsSpoilt;
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
