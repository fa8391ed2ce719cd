#include "PooledConnection.h"
#include <core/Bytes.h>
#include <http/ExchangeError.h>
#include <http/Serializer.h>

namespace masticwall::http {

namespace {

/** Late responses to earlier requests may precede the right one. An upstream that sends
 * more of them than this is failing. */
constexpr int kMaxDiscardedResponses = 8;

/** Read at a time; the budget of bytes is checked in between. */
constexpr qint64 kReadBufferBytes = 64 * kKiB;

} // namespace

PooledConnection::PooledConnection(TimerService& aTimers,
                                   const QHostAddress& aHost,
                                   std::uint16_t aPort,
                                   const std::shared_ptr<ByteBudget>& aBudget,
                                   Observer aObserver)
  : mTimers(aTimers)
  , mSocket(new QTcpSocket)
  , mHost(aHost)
  , mPort(aPort)
  , mObserver(std::move(aObserver))
  , mBuffered(aBudget)
{
}

PooledConnection::~PooledConnection()
{
  mSocket->disconnect();
  mSocket->deleteLater();
}

void
PooledConnection::startExchange(std::uint64_t aId, Exchange aExchange)
{
  mExchangeId = aId;
  mExchange = std::move(aExchange);
  mIsRequestWritten = false;
  mDiscardedResponses = 0;
  mErrorDetail.clear();
  mIsStarting = true;
  if (mIsConnected) {
    writeRequest();
    mIsStarting = false;
    return;
  }
  connectSignals();
  const std::weak_ptr<PooledConnection> weak = weak_from_this();
  mTimeoutTimer = mTimers.scheduleAfter(mExchange->connectTimeout, [weak] {
    if (const auto self = weak.lock()) {
      self->finish(ExchangeError::ConnectTimeout, {});
    }
  });
  mSocket->connectToHost(mHost, mPort);
  mIsStarting = false;
}

void
PooledConnection::cancelAndClose()
{
  mExchange.reset();
  close();
}

void
PooledConnection::closeWhenIdle()
{
  mIsLastExchange = true;
  if (isIdle()) {
    close();
  }
}

void
PooledConnection::connectSignals()
{
  const std::weak_ptr<PooledConnection> weak = weak_from_this();
  const auto forward = [weak](void (PooledConnection::*aSlot)()) {
    return [weak, aSlot] {
      if (const auto self = weak.lock()) {
        ((*self).*aSlot)();
      }
    };
  };
  QObject::connect(
    mSocket, &QTcpSocket::connected, mSocket, forward(&PooledConnection::onConnected));
  QObject::connect(
    mSocket, &QTcpSocket::readyRead, mSocket, forward(&PooledConnection::onReadable));
  QObject::connect(mSocket,
                   &QTcpSocket::disconnected,
                   mSocket,
                   forward(&PooledConnection::onDisconnected));
  QObject::connect(mSocket,
                   &QTcpSocket::errorOccurred,
                   mSocket,
                   forward(&PooledConnection::onDisconnected));
}

void
PooledConnection::onConnected()
{
  mIsConnected = true;
  mLastActivity = mTimers.now();
  mSocket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  mSocket->setReadBufferSize(kReadBufferBytes);
  writeRequest();
}

void
PooledConnection::writeRequest()
{
  if (mExchange->canStillSend != nullptr && !mExchange->canStillSend()) {
    const std::weak_ptr<PooledConnection> weak = weak_from_this();
    mTimeoutTimer = mTimers.scheduleAfter(Duration{ 0 }, [weak] {
      if (const auto self = weak.lock()) {
        self->finish(ExchangeError::NotSent, {});
      }
    });
    return;
  }
  mIsRequestWritten = true;
  resetParser();
  const std::weak_ptr<PooledConnection> weak = weak_from_this();
  mTimeoutTimer = mTimers.scheduleAfter(mExchange->timeout, [weak] {
    if (const auto self = weak.lock()) {
      self->finish(ExchangeError::Timeout, {});
    }
  });
  mSocket->write(serialize(mExchange->request));
  mSocket->flush();
}

void
PooledConnection::resetParser()
{
  mParser.emplace(mExchange->limits,
                  mExchange->request.method == "HEAD",
                  mExchange->allowCloseDelimited);
}

void
PooledConnection::onReadable()
{
  mBytes += mSocket->readAll();
  if (!mExchange.has_value() || !mIsRequestWritten) {
    // A late or unexpected response, which must not be taken for that of a later request.
    close();
    return;
  }
  takeResponses();
  if (mExchange.has_value()) {
    if (mParser->isCloseDelimited()) {
      mEndProbe.watch(static_cast<int>(mSocket->socketDescriptor()));
    }
    mBuffered.set(mBytes.size() + static_cast<qint64>(mParser->bodyBytes()));
    if (isBudgetExceeded()) {
      mObserver(*this);
    }
  }
}

void
PooledConnection::endOverBudget()
{
  finish(ExchangeError::OverBudget, {});
}

void
PooledConnection::takeResponses()
{
  while (mExchange.has_value()) {
    auto response = mParser->feed(mBytes);
    if (response.has_error()) {
      failBadResponse(response.error());
      return;
    }
    if (!response.value().has_value()) {
      return;
    }
    onResponse(std::move(*response.value()));
  }
}

void
PooledConnection::onResponse(Response aResponse)
{
  mLastActivity = mTimers.now();
  mKeepAliveTimeout = aResponse.keepAliveTimeout.value_or(mKeepAliveTimeout);
  const auto& isMatchingResponse = mExchange->isMatchingResponse;
  if (isMatchingResponse != nullptr && !isMatchingResponse(aResponse)) {
    // A late or unexpected response to another request; the right one may follow.
    mHasUnexpectedData = true;
    if (++mDiscardedResponses > kMaxDiscardedResponses) {
      failBadResponse(HttpError::Surplus);
      return;
    }
    resetParser();
    return;
  }
  mHasUnexpectedData = mHasUnexpectedData || !mBytes.isEmpty();
  if (mHasUnexpectedData && isMatchingResponse == nullptr) {
    // The bytes after the response belong to no request, so it may not be the right one.
    failBadResponse(HttpError::Surplus);
    return;
  }
  finish({}, std::move(aResponse));
}

void
PooledConnection::onDisconnected()
{
  if (!mExchange.has_value()) {
    close();
    return;
  }
  if (mIsStarting) {
    // The socket has failed at once; the owner of the exchange doesn't expect that yet.
    const std::weak_ptr<PooledConnection> weak = weak_from_this();
    mTimeoutTimer = mTimers.scheduleAfter(Duration{ 0 }, [weak] {
      if (const auto self = weak.lock()) {
        self->onDisconnected();
      }
    });
    return;
  }
  if (mIsRequestWritten) {
    const bool mayBeCloseDelimited =
      mExchange->allowCloseDelimited && mEndProbe.hasEndedInOrder();
    mBytes += mSocket->readAll();
    takeResponses();
    if (mExchange.has_value() && mayBeCloseDelimited) {
      auto response = mParser->finish();
      if (response.has_value()) {
        response.value().keepAlive = false;
        onResponse(std::move(response.value()));
      }
    }
  }
  // Nothing to do if the last bytes have completed the response.
  finish(mIsConnected ? ExchangeError::Closed : ExchangeError::ConnectFailed, {});
}

void
PooledConnection::finish(std::error_code aError, Response aResponse)
{
  if (!mExchange.has_value()) {
    return;
  }
  const auto self = shared_from_this();
  mTimeoutTimer.cancel();
  mBuffered.set(0);
  const auto done = std::move(mExchange->done);
  mExchange.reset();
  const bool isReusable =
    !aError && aResponse.keepAlive && !mHasUnexpectedData && !mIsLastExchange;
  if (!isReusable) {
    close();
  } else {
    mObserver(*this);
  }
  done({ aError,
         mErrorDetail,
         mIsRequestWritten,
         std::move(aResponse),
         mDiscardedResponses });
}

void
PooledConnection::failBadResponse(std::error_code aDetail)
{
  mErrorDetail = aDetail;
  finish(ExchangeError::BadResponse, {});
}

void
PooledConnection::close()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  mTimeoutTimer.cancel();
  mBuffered.set(0);
  mBytes.clear();
  mParser.reset();
  mSocket->disconnect();
  mSocket->abort();
  mObserver(*this);
}

} // namespace masticwall::http
