#pragma once

#include <http/ByteBudget.h>
#include <http/Exchange.h>
#include <memory>
#include <runtime/TimerService.h>

namespace masticwall::http {

/**
 * A worker's pool of keep-alive connections to upstreams. A connection carries one
 * exchange at a time. It is closed and not reused after a timeout, a cancelled exchange,
 * or a response that is late, incomplete, unexpected or malformed. A request is written
 * at most once; the pool never retries. If the responses that are being received exceed
 * the budget of bytes, the largest ends with OverBudget. Use it on one thread only.
 */
class UpstreamConnectionPool
{
public:
  /** `aBudget` may be shared with other pools and listeners, also on other threads. */
  UpstreamConnectionPool(TimerService& aTimers,
                         int aMaxConnectionsPerUpstream,
                         std::shared_ptr<ByteBudget> aBudget = makeDefaultBudget());
  ~UpstreamConnectionPool();

  /** Starts an exchange; returns its id. `done` is never called from within start(). */
  std::uint64_t start(Exchange aExchange);

  /** Cancels an exchange without calling its `done`, and closes its connection. */
  void cancel(std::uint64_t aExchangeId);

  /**
   * Closes the idle connections to the exchange's upstream that have received nothing
   * since the exchange started. Call it when a response is overdue: the same fault may
   * affect them all. The exchange itself continues.
   */
  void closeStaleIdle(std::uint64_t aExchangeId);

  /**
   * Closes the idle connections to an upstream now, and the others when their exchanges
   * have ended. Later exchanges open new ones.
   */
  void closeWhenIdle(const QHostAddress& aHost, std::uint16_t aPort);

  /** Changes the connection limit of each upstream; at least 1. */
  void setConnectionsPerUpstream(int aMaxConnections);

  /** Changes the limit of all connections together; at least 1. At the limit, a new
   * connection takes the place of the one that has been idle for longest. */
  void setMaxConnections(int aMaxConnections);
  std::size_t connectionCount() const;

private:
  static std::shared_ptr<ByteBudget> makeDefaultBudget()
  {
    return std::make_shared<ByteBudget>(kDefaultBudgetBytes);
  }

  static constexpr std::size_t kDefaultBudgetBytes = 64 * kMiB;

  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall::http
