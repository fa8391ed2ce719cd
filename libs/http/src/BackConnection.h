#pragma once

#include <QTcpSocket>
#include <http/Exchange.h>
#include <http/ResponseParser.h>
#include <memory>
#include <optional>
#include <runtime/TimerService.h>

namespace masticwall::http {

/** One connection to an upstream: at most one exchange at a time. */
class BackConnection : public std::enable_shared_from_this<BackConnection>
{
public:
  /** Told when the connection has become idle, or is closed for good. */
  using Observer = std::function<void(BackConnection&)>;

  BackConnection(TimerService& aTimers,
                 const QHostAddress& aHost,
                 std::uint16_t aPort,
                 Observer aObserver);
  ~BackConnection();

  /** Carries `aExchange`; connects first if that has not been done. */
  void carry(std::uint64_t aId, Exchange aExchange);

  /** Ends the exchange without telling its owner, and the connection. */
  void abandon();

  bool isIdle() const { return !mExchange.has_value() && !mIsClosed; }
  bool isClosed() const { return mIsClosed; }
  bool isFresh() const { return !mIsConnected; }
  std::uint64_t exchangeId() const { return mId; }

  /** When the other end was last heard of: an answer, or the connection's opening. */
  Instant lastAlive() const { return mLastAlive; }

  /** How long the other end keeps it idle, as last stated. */
  Duration idleLimit() const { return mIdleLimit; }

private:
  void connectSignals();
  void onConnected();
  void onReadable();
  void onBroken();
  bool wasReset() const;
  void onResponse(Response aResponse);
  void write();
  void beginParsing();
  void finish(std::error_code aError, Response aResponse);
  void shut();

  TimerService& mTimers;
  QTcpSocket* mSocket; ///< owned; deleted by Qt later
  QHostAddress mHost;
  std::uint16_t mPort;
  Observer mObserver;
  std::uint64_t mId = 0;
  std::optional<Exchange> mExchange;
  std::optional<ResponseParser> mParser;
  QByteArray mBytes;
  TimerHandle mTimeout;
  Instant mLastAlive;
  Duration mIdleLimit = Duration::max();
  bool mIsConnected = false;
  bool mIsWritten = false;
  bool mIsSpoilt = false; ///< bytes that belong to no request came on it
  bool mIsClosed = false;
};

} // namespace masticwall::http
