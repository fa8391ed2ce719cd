#pragma once

#include <QTcpSocket>
#include <deque>
#include <functional>
#include <memory>
#include <runtime/TimerService.h>

namespace masticwall::standin {

/** What a proxy does to the connections through it. */
struct ProxyFaults
{
  Duration delay{ 0 }; ///< one way, both ways alike
  double bytesPerSecond =
    0.0; ///< of each direction, all connections together; 0: no limit
  qint64 cutAfterRequest = -1; ///< a connection is cut after so many bytes to the target
  qint64 cutAfterAnswer = -1;  ///< ... and after so many bytes back
  bool refuses = false;        ///< new connections are closed at once
};

/** One connection through the proxy. */
class ProxyLink : public std::enable_shared_from_this<ProxyLink>
{
public:
  ProxyLink(TimerService& aTimers,
            const ProxyFaults& aFaults,
            QTcpSocket* aCaller,
            const QHostAddress& aHost,
            quint16 aPort);

  /** Calls back once, when both ends have gone. */
  void start(std::function<void()> aOnClosed);

  /** From now on no byte passes, and neither end is told: silent for good. */
  void freeze() { mIsFrozen = true; }

private:
  /** One direction: bytes that are on their way. */
  struct Direction
  {
    QTcpSocket* from = nullptr;
    QTcpSocket* to = nullptr;
    qint64 passed = 0;
    Instant freeAt; ///< when the line has carried what was sent so far
    std::map<std::uint64_t, TimerHandle> onTheWay;
  };

  void pump(Direction& aDirection, qint64 aCutAfter);
  void deliver(Direction& aDirection, const QByteArray& aBytes);
  void close();

  TimerService& mTimers;
  const ProxyFaults& mFaults;
  std::unique_ptr<QTcpSocket> mCaller;
  std::unique_ptr<QTcpSocket> mTarget;
  QHostAddress mHost;
  quint16 mPort;
  Direction mRequest;
  Direction mAnswer;
  std::uint64_t mNext = 1;
  std::function<void()> mOnClosed;
  bool mIsFrozen = false;
};

} // namespace masticwall::standin
