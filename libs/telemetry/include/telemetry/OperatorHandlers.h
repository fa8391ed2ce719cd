#pragma once

#include <QJsonObject>
#include <functional>
#include <string>

namespace masticwall {

/**
 * The callbacks behind the endpoints of an OperatorServer. They run on the server's
 * thread and must not block. All but `metrics` and `isReady` must be set.
 */
struct OperatorHandlers
{
  std::function<QJsonObject()> state;   ///< body of GET /state
  std::function<std::string()> metrics; ///< body of GET /metrics, empty if not set
  /** GET /ready, for load balancers: 200 if true, 503 if false or not set. */
  std::function<bool()> isReady;
  std::function<bool()> isLeaving; ///< GET /health: 503 if true (shutting down), else 200
  std::function<void()> drain;     ///< POST /drain: starts a graceful shutdown
};

} // namespace masticwall
