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
 * Serves requests of the system's other processes over HTTP/2. Lives on one thread.
 */
class PeerServer
{
public:
  /** Gives the reply, once, on the server's thread; nothing means "not served". */
  using Reply = std::function<void(const std::optional<QByteArray>&)>;
  using Handler = std::function<void(const std::string& aPath, QByteArray aBody, Reply)>;

  /** Fails with std::errc::address_in_use if the address can't be listened on. */
  static Result<std::unique_ptr<PeerServer>> listen(TimerService& aTimers,
                                                    const QHostAddress& aHost,
                                                    std::uint16_t aPort,
                                                    Handler aHandler,
                                                    const PeerTimes& aTimes = {});
  ~PeerServer();

  std::uint16_t port() const;

private:
  struct Impl;
  explicit PeerServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
