#pragma once

#include <QHostAddress>
#include <QJsonObject>
#include <core/Result.h>
#include <functional>
#include <memory>
#include <string>

namespace masticwall {

/**
 * The callbacks behind the endpoints of an OperatorServer. They run on the server's
 * thread and must not block.
 */
struct OperatorHandlers
{
  std::function<QJsonObject()> state;   ///< body of GET /state
  std::function<std::string()> metrics; ///< body of GET /metrics; if not set, empty
  std::function<bool()> isReady;        ///< GET /ready, for load balancers; not set: 503
  std::function<bool()> isLeaving;      ///< GET /health; 503 while shutting down
  std::function<void()> drain;          ///< POST /drain: starts a graceful shutdown
};

/**
 * The HTTP server for operators and health checks: GET /ready, /health, /state, /metrics
 * and /version, POST /drain. Runs on the event loop of the thread that created it.
 */
class OperatorServer
{
public:
  /** Fails with std::errc::address_in_use, also for other listen errors. */
  static Result<std::unique_ptr<OperatorServer>> listen(const QHostAddress& aHost,
                                                        std::uint16_t aPort,
                                                        OperatorHandlers aHandlers);
  ~OperatorServer();

private:
  struct Impl;
  explicit OperatorServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
