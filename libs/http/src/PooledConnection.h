#pragma once

#include "BufferedBytes.h"
#include "ConnectionEndProbe.h"
#include <QTcpSocket>
#include <http/Exchange.h>
#include <http/ResponseParser.h>
#include <memory>
#include <optional>
#include <runtime/TimerService.h>

namespace masticwall::http {

/** A keep-alive connection to an upstream, with at most one exchange at a time. */
class PooledConnection : public std::enable_shared_from_this<PooledConnection>
{
public:
  /** Called when the connection has become idle or is closed, and when it has received
   * bytes that exceed the budget. */
  using Observer = std::function<void(PooledConnection&)>;

  PooledConnection(TimerService& aTimers,
                   const QHostAddress& aHost,
                   std::uint16_t aPort,
                   const std::shared_ptr<ByteBudget>& aBudget,
                   Observer aObserver);
  ~PooledConnection();

  /** Starts `aExchange`; connects first if not yet connected. */
  void startExchange(std::uint64_t aId, Exchange aExchange);

  /** Drops the exchange without calling its `done`, and closes the connection. */
  void cancelAndClose();

  /** Ends the exchange with OverBudget and closes the connection. */
  void endOverBudget();

  /** The bytes that it holds of the response it receives. */
  std::int64_t bufferedBytes() const { return mBuffered.bytes(); }
  bool isBudgetExceeded() const { return mBuffered.isBudgetExceeded(); }

  /** Closes the connection now if it is idle, else when its exchange has ended. */
  void closeWhenIdle();

  bool isIdle() const { return !mExchange.has_value() && !mIsClosed; }
  bool isClosed() const { return mIsClosed; }
  bool isFresh() const { return !mIsConnected; }
  std::uint64_t exchangeId() const { return mExchangeId; }

  /** When the last response was received; before that, when the connection opened. */
  Instant lastActivity() const { return mLastActivity; }

  /** How long the upstream keeps an idle connection open: its last Keep-Alive timeout. */
  Duration keepAliveTimeout() const { return mKeepAliveTimeout; }

private:
  void connectSignals();
  void onConnected();
  void onReadable();
  void onDisconnected();
  void takeResponses();
  void onResponse(Response aResponse);
  void writeRequest();
  void resetParser();
  void finish(std::error_code aError, Response aResponse);

  /** Ends the exchange with BadResponse. `aDetail`: what is wrong with the response. */
  void failBadResponse(std::error_code aDetail);
  void close();

  TimerService& mTimers;
  QTcpSocket* mSocket; ///< owned; deleted by Qt later
  QHostAddress mHost;
  std::uint16_t mPort;
  Observer mObserver;
  std::uint64_t mExchangeId = 0;
  std::optional<Exchange> mExchange;
  std::error_code mErrorDetail; ///< of this exchange; see ExchangeResult
  std::optional<ResponseParser> mParser;
  QByteArray mBytes;
  BufferedBytes mBuffered;
  ConnectionEndProbe mEndProbe; ///< watches while a response ends with the connection
  TimerHandle mTimeoutTimer;
  Instant mLastActivity;
  Duration mKeepAliveTimeout = Duration::max();
  int mDiscardedResponses = 0; ///< of this exchange; see ExchangeResult
  bool mIsConnected = false;
  bool mIsStarting = false; ///< in startExchange(), which must not end the exchange
  bool mIsRequestWritten = false;
  bool mHasUnexpectedData = false; ///< received bytes that belong to no request
  bool mIsLastExchange = false;    ///< not reused after the current exchange
  bool mIsClosed = false;
};

} // namespace masticwall::http
