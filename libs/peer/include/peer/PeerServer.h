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

/** Serves HTTP/2 requests of the system's other processes. Use it on one thread only. */
class PeerServer
{
public:
  /** Sends the reply, once, on the server's thread. Without a value, sends status 404. */
  using ReplyCallback = std::function<void(const std::optional<QByteArray>&)>;
  using Handler =
    std::function<void(const std::string& aPath, QByteArray aBody, ReplyCallback)>;

  /** Fails with std::errc::address_in_use if the address can't be listened on, whatever
   * the cause. */
  static Result<std::unique_ptr<PeerServer>> listen(TimerService& aTimers,
                                                    const QHostAddress& aHost,
                                                    std::uint16_t aPort,
                                                    Handler aHandler,
                                                    const PeerTimeouts& aTimeouts = {});
  ~PeerServer();

  std::uint16_t port() const;

private:
  struct Impl;
  explicit PeerServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
