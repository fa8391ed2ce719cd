#pragma once

#include <QByteArray>
#include <QHostAddress>
#include <core/Result.h>
#include <functional>
#include <memory>
#include <peer/PeerTimeouts.h>
#include <runtime/TimerService.h>
#include <string>

namespace masticwall {

/**
 * Sends requests to one process over an HTTP/2 connection, which it opens on demand
 * and reopens on demand after a loss. PING frames distinguish a dead connection from a
 * slow peer. Use it on one thread only.
 */
class PeerClient
{
public:
  using Callback = std::function<void(Result<QByteArray>)>;

  PeerClient(TimerService& aTimers,
             const QHostAddress& aHost,
             std::uint16_t aPort,
             const PeerTimeouts& aTimeouts = {});
  ~PeerClient();

  /**
   * Sends `aBody` to `aPath`. `aDone` is called once, later, from the event loop, with
   * the reply or a PeerError. If the client is destroyed before the request has ended,
   * `aDone` is not called.
   */
  void request(const std::string& aPath,
               QByteArray aBody,
               Duration aTimeout,
               Callback aDone);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace masticwall
