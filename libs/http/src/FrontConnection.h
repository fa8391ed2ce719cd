#pragma once

#include <QTcpSocket>
#include <deque>
#include <http/FrontListener.h>
#include <http/RequestParser.h>

namespace masticwall::http {

/** One caller's connection. Owned by its listener's connection table. */
class FrontConnection : public std::enable_shared_from_this<FrontConnection>
{
public:
  /** What the connection needs of its listener. */
  struct Context
  {
    FrontSettings settings;
    FrontListener::Handler handler;
    FrontListener::Refuser refuser;
    bool isClosing = false; ///< every answer ends its connection
  };

  FrontConnection(QTcpSocket* aSocket,
                  std::shared_ptr<Context> aContext,
                  std::function<void()> aOnClosed);
  ~FrontConnection();

  /** Begins to read; call once, after the object is shared. */
  void start();

  /** Closes the connection if one of its time limits has passed. */
  void checkTimeouts(Instant aNow);

  bool isIdle() const { return mPending.empty() && mBytes.isEmpty() && !mIsPartial; }
  Duration idleFor(Instant aNow) const { return aNow - mIdleSince; }
  void close();

private:
  class Place;

  void onReadable();
  void onClosed();
  void readRequests();
  bool mayRead() const;
  void begin(Request aRequest);
  void refuse(const std::error_code& aError);
  void flush();
  void write(const Place& aPlace);

  QTcpSocket* mSocket; ///< owned; deleted by Qt later
  std::shared_ptr<Context> mContext;
  std::function<void()> mOnClosed;
  QByteArray mBytes;
  std::optional<RequestParser> mParser;
  std::deque<std::shared_ptr<Place>> mPending; ///< answers not yet written, in order
  Instant mRequestSince;                       ///< first byte of the request being read
  Instant mIdleSince;
  Instant mWriteProgress;
  bool mIsPartial = false; ///< part of a request has been read
  bool mIsEnding = false;  ///< no further request is read
  bool mIsClosed = false;
  bool mHasContinued = false;
};

} // namespace masticwall::http
