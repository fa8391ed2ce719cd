#include <QTcpSocket>
#include <http/ConnectProbe.h>
#include <memory>

namespace masticwall::http {

namespace {

/**
 * A process that is exiting may still accept a connection and then reset it. One that
 * stays open for this long was accepted by a running process.
 */
constexpr Duration kMinConnectionLifetime = std::chrono::milliseconds(50);

/** A probe in progress. Freed when finish() disconnects the slots that own it. */
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
  // The slots own the probe. finish() disconnects them, which frees it; so it is queued,
  // never called from within a signal of the probe's socket.
  const auto finishLater = [probe](bool aIsListening) {
    QMetaObject::invokeMethod(
      &probe->socket,
      [probe, aIsListening] { probe->finish(aIsListening); },
      Qt::QueuedConnection);
  };
  auto* const timers = &aTimers;
  QObject::connect(
    &probe->socket, &QTcpSocket::connected, [timers, finishLater, raw = probe.get()] {
      raw->timeout = timers->scheduleAfter(kMinConnectionLifetime,
                                           [finishLater] { finishLater(true); });
    });
  QObject::connect(
    &probe->socket, &QTcpSocket::disconnected, [finishLater] { finishLater(false); });
  QObject::connect(
    &probe->socket, &QTcpSocket::errorOccurred, [finishLater] { finishLater(false); });
  probe->timeout = aTimers.scheduleAfter(aTimeout, [finishLater] { finishLater(false); });
  probe->socket.connectToHost(aHost, aPort);
}

} // namespace masticwall::http
