#pragma once

#include "BufferedBytes.h"
#include <QTcpSocket>
#include <deque>
#include <http/HttpListener.h>
#include <http/RequestParser.h>

namespace masticwall::http {

/** One caller's connection. Owned by its listener's connection table. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  /** Settings and callbacks shared by the listener's connections. */
  struct Context
  {
    HttpListenerSettings settings;
    HttpListener::Handler handler;
    HttpListener::ErrorResponder errorResponder;
    std::shared_ptr<ByteBudget> budget;
    std::shared_ptr<ByteBudget> bodies; ///< of requests; null: not bounded together
    /** Called when responses that callers don't take exceed the budget. */
    std::function<void()> onOverBudget;
    /** Connections read no request behind a pending one, and close after the last pending
     * response. */
    bool closesAfterResponses = false;
  };

  CallerConnection(QTcpSocket* aSocket,
                   std::shared_ptr<Context> aContext,
                   std::function<void()> aOnClosed);
  ~CallerConnection();

  /** Starts reading; call once, when a shared_ptr owns the object. */
  void start();

  /** Closes the connection if one of its time limits has passed. */
  void checkTimeouts(Instant aNow);

  bool isIdle() const
  {
    return mPendingResponses.empty() && mBytes.isEmpty() && !mIsReadingRequest;
  }
  Duration idleFor(Instant aNow) const { return aNow - mIdleSince; }
  /** The bytes of responses that the caller has not taken yet. */
  qint64 untakenBytes() const;
  void reset();
  /** Closes the connection after writing what the socket has buffered. */
  void close();

private:
  class PendingResponse;

  void onReadable();

  /**
   * Closes the connection after the last response. Unless the caller has sent its last
   * request, only the sending direction is closed at first, and what still arrives is
   * discarded until the caller closes or a limit is reached: closing a socket with unread
   * bytes resets the connection, which may destroy the response on its way.
   */
  void closeInOrder();
  void shutDownWhenWritten();
  void discardInput();
  void onClosed();
  /** Updates the connection's part of the budget, and ends the largest if exceeded. */
  void updateBuffered();
  void readRequests();
  bool mayRead() const;
  void dispatch(Request aRequest);
  void respondWithError(const std::error_code& aError);
  /** Writes the responses that are complete and next in order; then closes or reads. */
  void writeReadyResponses();
  void writeResponse(PendingResponse& aPending);

  QTcpSocket* mSocket; ///< owned; deleted by Qt later
  std::shared_ptr<Context> mContext;
  std::function<void()> mOnClosed;
  QByteArray mBytes;
  BufferedBytes mBuffered;
  std::optional<RequestParser> mParser;
  std::deque<std::shared_ptr<PendingResponse>>
    mPendingResponses;       ///< in the order of the requests
  Instant mRequestStartedAt; ///< when the first byte of the current request was read
  Instant mIdleSince;
  Instant mLastWriteProgress;
  bool mIsReadingRequest = false; ///< part of a request has been read
  bool mIsClosing = false;        ///< no further request is read
  bool mHasCallerEnded = false;   ///< the caller asked to close after its last request
  bool mIsLingering = false;      ///< see closeInOrder()
  bool mIsShutDown = false;       ///< the sending direction is closed
  Instant mShutDownAt;
  qint64 mDiscardedBytes = 0;
  bool mIsClosed = false;
  bool mHasSentContinue = false;
};

} // namespace masticwall::http
