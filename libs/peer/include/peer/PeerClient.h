#pragma once

#include <QByteArray>
#include <QHostAddress>
#include <core/Result.h>
#include <functional>
#include <memory>
#include <peer/PeerTimes.h>
#include <runtime/TimerService.h>
#include <string>

namespace masticwall {

/**
 * Sends requests to one process over an HTTP/2 connection, which it opens when needed
 * and opens anew after a loss. A PING tells a silent connection from a slow peer. Lives
 * on one thread.
 */
class PeerClient
{
public:
  using Callback = std::function<void(Result<QByteArray>)>;

  PeerClient(TimerService& aTimers,
             const QHostAddress& aHost,
             std::uint16_t aPort,
             const PeerTimes& aTimes = {});
  ~PeerClient();

  /**
   * Sends `aBody` to `aPath`. `aDone` is called once, later, with the reply or a
   * PeerError; not at all if the client is destroyed first.
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
