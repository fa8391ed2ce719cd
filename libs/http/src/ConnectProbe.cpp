#include <QTcpSocket>
#include <http/ConnectProbe.h>
#include <memory>

namespace masticwall::http {

namespace {

/**
 * A process that is ending may still take a connection for a moment, and then reset it:
 * one that lasts so long was taken by a process that lives.
 */
constexpr Duration kLastingTime = std::chrono::milliseconds(50);

/** A probe in progress; deletes itself once it has called back. */
struct Probe
{
  QTcpSocket socket;
  TimerHandle timeout;
  std::function<void(bool)> done;

  void finish(bool aIsListening)
  {
    if (done == nullptr) {
      return;
    }
    const auto callback = std::exchange(done, nullptr);
    timeout.cancel();
    socket.disconnect();
    socket.abort();
    callback(aIsListening);
  }
};

} // namespace

void
probeConnect(TimerService& aTimers,
             const QHostAddress& aHost,
             std::uint16_t aPort,
             Duration aTimeout,
             std::function<void(bool)> aDone)
{
  const auto probe = std::make_shared<Probe>();
  probe->done = std::move(aDone);
  // The callbacks share the probe; it goes once the socket is told to be deleted.
  const auto end = [probe](bool aIsListening) {
    QMetaObject::invokeMethod(
      &probe->socket,
      [probe, aIsListening] { probe->finish(aIsListening); },
      Qt::QueuedConnection);
  };
  auto* const timers = &aTimers;
  QObject::connect(
    &probe->socket, &QTcpSocket::connected, [timers, end, raw = probe.get()] {
      raw->timeout = timers->scheduleAfter(kLastingTime, [end] { end(true); });
    });
  QObject::connect(&probe->socket, &QTcpSocket::disconnected, [end] { end(false); });
  QObject::connect(&probe->socket, &QTcpSocket::errorOccurred, [end] { end(false); });
  probe->timeout = aTimers.scheduleAfter(aTimeout, [end] { end(false); });
  probe->socket.connectToHost(aHost, aPort);
}

} // namespace masticwall::http
