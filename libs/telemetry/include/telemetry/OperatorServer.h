#pragma once

#include <QHostAddress>
#include <QJsonObject>
#include <core/Result.h>
#include <functional>
#include <memory>
#include <string>

namespace masticwall {

/** What a process offers on its operators' port. The callbacks answer at once. */
struct OperatorPages
{
  std::function<QJsonObject()> state;
  std::function<std::string()> metrics; ///< may be empty
  std::function<bool()> isReady;        ///< for a balancer's checks; may be empty
  std::function<bool()> isLeaving;
  std::function<void()> drain; ///< asked for by POST /drain
};

/**
 * The operators' port: GET /ready, /health, /state, /metrics, /version and POST /drain.
 * Lives on the thread that made it.
 */
class OperatorServer
{
public:
  /** Fails with std::errc::address_in_use if the address can't be listened on. */
  static Result<std::unique_ptr<OperatorServer>> listen(const QHostAddress& aHost,
                                                        std::uint16_t aPort,
                                                        OperatorPages aPages);
  ~OperatorServer();

private:
  struct Impl;
  explicit OperatorServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
