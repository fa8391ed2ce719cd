#include "ProxyLink.h"
#include <QHostAddress>

namespace masticwall::standin {

ProxyLink::ProxyLink(TimerService& aTimers,
                     const ProxyFaults& aFaults,
                     QTcpSocket* aCaller,
                     const QHostAddress& aHost,
                     quint16 aPort)
  : mTimers(aTimers)
  , mFaults(aFaults)
  , mCaller(aCaller)
  , mTarget(std::make_unique<QTcpSocket>())
  , mHost(aHost)
  , mPort(aPort)
{
  mRequest = { mCaller.get(), mTarget.get(), 0, {}, {} };
  mAnswer = { mTarget.get(), mCaller.get(), 0, {}, {} };
}

void
ProxyLink::start(std::function<void()> aOnClosed)
{
  mOnClosed = std::move(aOnClosed);
  for (auto* const it : { mCaller.get(), mTarget.get() }) {
    it->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    const auto onClosed = [this] {
      if (!mIsFrozen) {
        close();
      }
    };
    QObject::connect(it, &QTcpSocket::disconnected, it, onClosed);
    QObject::connect(it, &QTcpSocket::errorOccurred, it, onClosed);
  }
  const auto pumpRequest = [this] { pump(mRequest, mFaults.cutAfterRequest); };
  QObject::connect(mCaller.get(), &QTcpSocket::readyRead, mCaller.get(), pumpRequest);
  QObject::connect(mTarget.get(), &QTcpSocket::connected, mTarget.get(), pumpRequest);
  QObject::connect(mTarget.get(), &QTcpSocket::readyRead, mTarget.get(), [this] {
    pump(mAnswer, mFaults.cutAfterAnswer);
  });
  mTarget->connectToHost(mHost, mPort);
}

void
ProxyLink::pump(Direction& aDirection, qint64 aCutAfter)
{
  if (mIsFrozen || aDirection.to->state() != QAbstractSocket::ConnectedState) {
    return;
  }
  auto bytes = aDirection.from->readAll();
  if (aCutAfter >= 0 && aDirection.passed + bytes.size() >= aCutAfter) {
    bytes.truncate(aCutAfter - aDirection.passed);
    aDirection.to->write(bytes);
    aDirection.to->flush();
    close();
    return;
  }
  aDirection.passed += bytes.size();
  deliver(aDirection, bytes);
}

void
ProxyLink::deliver(Direction& aDirection, const QByteArray& aBytes)
{
  if (mFaults.delay == Duration{ 0 } && mFaults.bytesPerSecond <= 0.0) {
    aDirection.to->write(aBytes);
    return;
  }
  const auto now = mTimers.now();
  aDirection.freeAt = std::max(aDirection.freeAt, now);
  if (mFaults.bytesPerSecond > 0.0) {
    const std::chrono::duration<double> carry(static_cast<double>(aBytes.size()) /
                                              mFaults.bytesPerSecond);
    aDirection.freeAt += std::chrono::duration_cast<Duration>(carry);
  }
  const auto id = mNext++;
  auto* const direction = &aDirection;
  aDirection.onTheWay[id] =
    mTimers.scheduleAt(aDirection.freeAt + mFaults.delay, [this, id, direction, aBytes] {
      const auto kept = std::move(direction->onTheWay[id]);
      direction->onTheWay.erase(id);
      if (!mIsFrozen) {
        direction->to->write(aBytes);
      }
    });
}

void
ProxyLink::close()
{
  if (mOnClosed == nullptr) {
    return;
  }
  for (auto* const it : { mCaller.get(), mTarget.get() }) {
    it->disconnect();
    it->flush();
    it->abort();
  }
  const auto self = shared_from_this();
  std::exchange(mOnClosed, nullptr)();
}

} // namespace masticwall::standin
