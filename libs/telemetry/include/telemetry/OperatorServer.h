#pragma once

#include <QHostAddress>
#include <core/Result.h>
#include <memory>
#include <telemetry/OperatorHandlers.h>

namespace masticwall {

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
