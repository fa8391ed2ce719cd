#include "FrontConnection.h"
#include <QHostAddress>
#include <core/Bytes.h>
#include <http/HttpError.h>
#include <http/Serializer.h>

namespace masticwall::http {

namespace {

constexpr qint64 kReadBufferBytes = 64 * kKiB;
constexpr qint64 kMostUnwrittenBytes = 256 * kKiB;
constexpr int kLongestTurn = 32; ///< requests begun before the event loop runs again

Instant
steadyNow()
{
  return std::chrono::steady_clock::now();
}

} // namespace

/** The place of one answer. */
class FrontConnection::Place : public Responder
{
public:
  Place(std::weak_ptr<FrontConnection> aConnection,
        const Request& aRequest,
        std::string aCaller)
    : isHead(aRequest.method == "HEAD")
    , isHttp10(aRequest.isHttp10)
    , keepAlive(aRequest.keepAlive)
    , mConnection(std::move(aConnection))
    , mCaller(std::move(aCaller))
  {
  }

  void respond(Response aResponse) override
  {
    const auto connection = mConnection.lock();
    if (connection == nullptr || response.has_value()) {
      return;
    }
    response = std::move(aResponse);
    gone = nullptr;
    connection->flush();
  }

  void onGone(std::function<void()> aCallback) override { gone = std::move(aCallback); }

  std::string callerAddress() const override { return mCaller; }

  std::optional<Response> response;
  std::function<void()> gone;
  bool isHead;
  bool isHttp10;
  bool keepAlive;

private:
  std::weak_ptr<FrontConnection> mConnection;
  std::string mCaller;
};

FrontConnection::FrontConnection(QTcpSocket* aSocket,
                                 std::shared_ptr<Context> aContext,
                                 std::function<void()> aOnClosed)
  : mSocket(aSocket)
  , mContext(std::move(aContext))
  , mOnClosed(std::move(aOnClosed))
  , mIdleSince(steadyNow())
  , mWriteProgress(mIdleSince)
{
}

FrontConnection::~FrontConnection()
{
  mSocket->disconnect();
  mSocket->deleteLater();
}

void
FrontConnection::start()
{
  mSocket->setReadBufferSize(kReadBufferBytes);
  mSocket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  const std::weak_ptr<FrontConnection> weak = weak_from_this();
  QObject::connect(mSocket, &QTcpSocket::readyRead, mSocket, [weak] {
    if (const auto self = weak.lock()) {
      self->onReadable();
    }
  });
  QObject::connect(mSocket, &QTcpSocket::bytesWritten, mSocket, [weak](qint64) {
    if (const auto self = weak.lock()) {
      self->mWriteProgress = steadyNow();
      self->readRequests();
    }
  });
  QObject::connect(mSocket, &QTcpSocket::disconnected, mSocket, [weak] {
    if (const auto self = weak.lock()) {
      self->onClosed();
    }
  });
  onReadable();
}

void
FrontConnection::checkTimeouts(Instant aNow)
{
  const auto& settings = mContext->settings;
  const bool isStuck =
    mSocket->bytesToWrite() > 0 && aNow - mWriteProgress > settings.writeTimeout;
  const bool isIdleTooLong = isIdle() && aNow - mIdleSince > settings.idleTimeout;
  if (isStuck || isIdleTooLong) {
    mSocket->abort();
    return;
  }
  if (mIsPartial && !mIsEnding && aNow - mRequestSince > settings.requestTimeout) {
    refuse(HttpError::Timeout);
  }
}

void
FrontConnection::close()
{
  mIsEnding = true;
  mSocket->disconnectFromHost();
}

void
FrontConnection::onReadable()
{
  readRequests();
}

void
FrontConnection::onClosed()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  const auto self = shared_from_this();
  for (const auto& it : mPending) {
    if (it->gone != nullptr) {
      std::exchange(it->gone, nullptr)();
    }
  }
  mPending.clear();
  mOnClosed();
}

bool
FrontConnection::mayRead() const
{
  return !mIsEnding && !mIsClosed &&
         mPending.size() < static_cast<std::size_t>(mContext->settings.maxPipelined) &&
         mSocket->bytesToWrite() < kMostUnwrittenBytes;
}

void
FrontConnection::readRequests()
{
  const auto self = shared_from_this();
  for (int i = 0; i < kLongestTurn && mayRead(); ++i) {
    mBytes += mSocket->readAll();
    if (mBytes.isEmpty()) {
      return;
    }
    if (!mIsPartial) {
      mIsPartial = true;
      mHasContinued = false;
      mRequestSince = steadyNow();
      mParser.emplace(mContext->settings.message);
    }
    const auto before = mBytes.size();
    auto request = mParser->feed(mBytes);
    if (request.has_error()) {
      refuse(request.error());
      return;
    }
    if (!request.value().has_value()) {
      if (mParser->wantsContinue() && !mHasContinued) {
        mHasContinued = true;
        mSocket->write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      if (mBytes.size() == before || mSocket->bytesAvailable() == 0) {
        return;
      }
      continue;
    }
    mIsPartial = false;
    begin(std::move(*request.value()));
  }
}

void
FrontConnection::begin(Request aRequest)
{
  if (!aRequest.keepAlive) {
    mIsEnding = true;
  }
  const auto caller = mSocket->peerAddress().toString().toStdString();
  auto place = std::make_shared<Place>(weak_from_this(), aRequest, caller);
  mPending.push_back(place);
  mContext->handler(std::move(aRequest), place);
}

void
FrontConnection::refuse(const std::error_code& aError)
{
  mIsEnding = true;
  mIsPartial = false;
  mBytes.clear();
  Request unread;
  unread.keepAlive = false;
  auto place = std::make_shared<Place>(weak_from_this(), unread, std::string());
  mPending.push_back(place);
  place->respond(mContext->refuser(aError));
}

void
FrontConnection::flush()
{
  const auto self = shared_from_this();
  while (!mPending.empty() && mPending.front()->response.has_value()) {
    const auto place = mPending.front();
    mPending.pop_front();
    write(*place);
  }
  if (mPending.empty()) {
    mIdleSince = steadyNow();
  }
  if (mIsEnding && mPending.empty()) {
    mSocket->disconnectFromHost();
    return;
  }
  if (!mBytes.isEmpty() || mSocket->bytesAvailable() > 0) {
    // Later, not now: a pipelined run of cached answers must not nest without end.
    const std::weak_ptr<FrontConnection> weak = weak_from_this();
    QMetaObject::invokeMethod(
      mSocket,
      [weak] {
        if (const auto connection = weak.lock()) {
          connection->readRequests();
        }
      },
      Qt::QueuedConnection);
  }
}

void
FrontConnection::write(const Place& aPlace)
{
  if (mIsClosed) {
    return;
  }
  auto response = *aPlace.response;
  const bool isLast = !aPlace.keepAlive || (mContext->isClosing && mPending.empty()) ||
                      (mIsEnding && mPending.empty());
  response.keepAlive = !isLast;
  if (isLast) {
    mIsEnding = true;
  }
  if (mSocket->bytesToWrite() == 0) {
    mWriteProgress = steadyNow();
  }
  mSocket->write(serialize(response, aPlace.isHead, aPlace.isHttp10));
}

} // namespace masticwall::http
