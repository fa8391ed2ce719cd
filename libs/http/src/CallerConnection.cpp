#include "CallerConnection.h"
#include <QHostAddress>
#include <core/Bytes.h>
#include <http/HttpError.h>
#include <http/Serializer.h>
#include <sys/socket.h>

namespace masticwall::http {

namespace {

constexpr qint64 kReadBufferBytes = 64 * kKiB;
/** No further request is read while the socket has this many bytes to write. */
constexpr qint64 kMaxUnwrittenBytes = 256 * kKiB;
/** At most this many requests are dispatched before the event loop runs again. */
constexpr int kMaxRequestsPerTurn = 32;
/** How long, and up to how many bytes, a caller may go on sending after the end of the
 * last response. */
constexpr Duration kMaxLingerTime = std::chrono::seconds(1);
constexpr qint64 kMaxLingerBytes = 4 * kMiB;

Instant
steadyNow()
{
  return std::chrono::steady_clock::now();
}

} // namespace

/** A response that has not been written yet; see mPendingResponses. */
class CallerConnection::PendingResponse : public Responder
{
public:
  PendingResponse(std::weak_ptr<CallerConnection> aConnection,
                  const Request& aRequest,
                  std::string aCallerAddress)
    : isHead(aRequest.method == "HEAD")
    , isHttp10(aRequest.isHttp10)
    , keepAlive(aRequest.keepAlive)
    , mConnection(std::move(aConnection))
    , mCallerAddress(std::move(aCallerAddress))
  {
  }

  void respond(Response aResponse) override
  {
    const auto connection = mConnection.lock();
    if (connection == nullptr || response.has_value()) {
      return;
    }
    response = std::move(aResponse);
    disconnectCallback = nullptr;
    connection->writeReadyResponses();
  }

  void onDisconnect(std::function<void()> aCallback) override
  {
    disconnectCallback = std::move(aCallback);
  }

  std::string callerAddress() const override { return mCallerAddress; }

  std::optional<Response> response;
  std::function<void()> disconnectCallback;
  bool isHead;
  bool isHttp10;
  bool keepAlive;

private:
  std::weak_ptr<CallerConnection> mConnection;
  std::string mCallerAddress;
};

CallerConnection::CallerConnection(QTcpSocket* aSocket,
                                   std::shared_ptr<Context> aContext,
                                   std::function<void()> aOnClosed)
  : mSocket(aSocket)
  , mContext(std::move(aContext))
  , mOnClosed(std::move(aOnClosed))
  , mBuffered(mContext->budget)
  , mIdleSince(steadyNow())
  , mLastWriteProgress(mIdleSince)
{
}

CallerConnection::~CallerConnection()
{
  mSocket->disconnect();
  mSocket->deleteLater();
}

void
CallerConnection::start()
{
  mSocket->setReadBufferSize(kReadBufferBytes);
  mSocket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  const std::weak_ptr<CallerConnection> weak = weak_from_this();
  QObject::connect(mSocket, &QTcpSocket::readyRead, mSocket, [weak] {
    if (const auto self = weak.lock()) {
      self->onReadable();
    }
  });
  QObject::connect(mSocket, &QTcpSocket::bytesWritten, mSocket, [weak](qint64) {
    if (const auto self = weak.lock()) {
      self->mLastWriteProgress = steadyNow();
      self->updateBuffered();
      if (self->mIsLingering) {
        self->shutDownWhenWritten();
      } else {
        self->readRequests();
      }
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
CallerConnection::checkTimeouts(Instant aNow)
{
  const auto& settings = mContext->settings;
  const bool isWriteStalled =
    mSocket->bytesToWrite() > 0 && aNow - mLastWriteProgress > settings.writeTimeout;
  const bool isIdleTooLong = isIdle() && aNow - mIdleSince > settings.idleTimeout;
  const bool isLingerOver = mIsShutDown && aNow - mShutDownAt > kMaxLingerTime;
  if (isWriteStalled || isIdleTooLong || isLingerOver) {
    mSocket->abort();
    return;
  }
  if (mIsReadingRequest && !mIsClosing &&
      aNow - mRequestStartedAt > settings.requestTimeout) {
    respondWithError(HttpError::Timeout);
  }
}

qint64
CallerConnection::untakenBytes() const
{
  auto n = mSocket->bytesToWrite();
  for (const auto& it : mPendingResponses) {
    n += it->response.has_value() ? static_cast<qint64>(it->response->body.size()) : 0;
  }
  return n;
}

void
CallerConnection::updateBuffered()
{
  const auto before = mBuffered.bytes();
  mBuffered.set(untakenBytes());
  if (mBuffered.bytes() > before && mBuffered.isBudgetExceeded()) {
    mContext->onOverBudget();
  }
}

void
CallerConnection::reset()
{
  mSocket->abort();
}

void
CallerConnection::close()
{
  mIsClosing = true;
  mSocket->disconnectFromHost();
}

void
CallerConnection::onReadable()
{
  if (mIsLingering) {
    discardInput();
  } else {
    readRequests();
  }
}

void
CallerConnection::closeInOrder()
{
  const bool hasInput = !mBytes.isEmpty() || mSocket->bytesAvailable() > 0;
  if (mHasCallerEnded && !hasInput) {
    mSocket->disconnectFromHost();
    return;
  }
  mIsLingering = true;
  mIsReadingRequest = false;
  mBytes.clear();
  mBytes.squeeze();
  shutDownWhenWritten();
  discardInput();
}

void
CallerConnection::shutDownWhenWritten()
{
  if (mIsShutDown || mIsClosed) {
    return;
  }
  mSocket->flush(); // may call this function again
  if (!mIsShutDown && mSocket->bytesToWrite() == 0) {
    mIsShutDown = true;
    mShutDownAt = steadyNow();
    ::shutdown(static_cast<int>(mSocket->socketDescriptor()), SHUT_WR);
  }
}

void
CallerConnection::discardInput()
{
  mDiscardedBytes += mSocket->readAll().size();
  if (mDiscardedBytes > kMaxLingerBytes) {
    mSocket->abort();
  }
}

void
CallerConnection::onClosed()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  const auto self = shared_from_this();
  for (const auto& it : mPendingResponses) {
    if (it->disconnectCallback != nullptr) {
      std::exchange(it->disconnectCallback, nullptr)();
    }
  }
  mPendingResponses.clear();
  mBuffered.set(0);
  mOnClosed();
}

bool
CallerConnection::mayRead() const
{
  // While the listener drains, the last pending response closes the connection. A request
  // that was read behind it would run in vain, or keep the connection open.
  const bool isLastPending = mContext->closesAfterResponses && !mPendingResponses.empty();
  return !mIsClosing && !mIsClosed && !isLastPending &&
         mPendingResponses.size() <
           static_cast<std::size_t>(mContext->settings.maxPipelined) &&
         mSocket->bytesToWrite() < kMaxUnwrittenBytes;
}

void
CallerConnection::readRequests()
{
  const auto self = shared_from_this();
  for (int i = 0; i < kMaxRequestsPerTurn && mayRead(); ++i) {
    mBytes += mSocket->readAll();
    if (mBytes.isEmpty()) {
      return;
    }
    if (!mIsReadingRequest) {
      mIsReadingRequest = true;
      mHasSentContinue = false;
      mRequestStartedAt = steadyNow();
      mParser.emplace(mContext->settings.message, mContext->bodies);
    }
    const auto sizeBefore = mBytes.size();
    auto request = mParser->feed(mBytes);
    if (request.has_error()) {
      respondWithError(request.error());
      return;
    }
    if (!request.value().has_value()) {
      if (mParser->wantsContinue() && !mHasSentContinue) {
        mHasSentContinue = true;
        mSocket->write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      if (mBytes.size() == sizeBefore || mSocket->bytesAvailable() == 0) {
        return;
      }
      continue;
    }
    mIsReadingRequest = false;
    dispatch(std::move(*request.value()));
  }
}

void
CallerConnection::dispatch(Request aRequest)
{
  if (!aRequest.keepAlive) {
    mIsClosing = true;
    mHasCallerEnded = true;
  }
  const auto caller = mSocket->peerAddress().toString().toStdString();
  auto pending = std::make_shared<PendingResponse>(weak_from_this(), aRequest, caller);
  mPendingResponses.push_back(pending);
  mContext->handler(std::move(aRequest), pending);
}

void
CallerConnection::respondWithError(const std::error_code& aError)
{
  mIsClosing = true;
  mIsReadingRequest = false;
  mParser.reset(); // gives back the room for the body
  mBytes.clear();
  Request unparsed;
  unparsed.keepAlive = false;
  auto pending =
    std::make_shared<PendingResponse>(weak_from_this(), unparsed, std::string());
  mPendingResponses.push_back(pending);
  pending->respond(mContext->errorResponder(aError));
}

void
CallerConnection::writeReadyResponses()
{
  const auto self = shared_from_this();
  while (!mPendingResponses.empty() && mPendingResponses.front()->response.has_value()) {
    const auto pending = mPendingResponses.front();
    mPendingResponses.pop_front();
    writeResponse(*pending);
  }
  updateBuffered();
  if (mIsClosed) {
    return; // over the budget
  }
  if (mPendingResponses.empty()) {
    mIdleSince = steadyNow();
  }
  if (mIsClosing && mPendingResponses.empty()) {
    closeInOrder();
    return;
  }
  if (!mBytes.isEmpty() || mSocket->bytesAvailable() > 0) {
    // Queued: handlers that respond at once to pipelined requests would recurse deeply.
    const std::weak_ptr<CallerConnection> weak = weak_from_this();
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
CallerConnection::writeResponse(PendingResponse& aPending)
{
  if (mIsClosed) {
    return;
  }
  auto& response = *aPending.response;
  const bool isLast = !aPending.keepAlive ||
                      (mContext->closesAfterResponses && mPendingResponses.empty()) ||
                      (mIsClosing && mPendingResponses.empty());
  response.keepAlive = !isLast;
  if (isLast) {
    mIsClosing = true;
  }
  if (mSocket->bytesToWrite() == 0) {
    mLastWriteProgress = steadyNow();
  }
  mSocket->write(serialize(response, aPending.isHead, aPending.isHttp10));
}

} // namespace masticwall::http
