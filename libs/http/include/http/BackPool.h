#pragma once

#include <http/Exchange.h>
#include <memory>
#include <runtime/TimerService.h>

namespace masticwall::http {

/**
 * The connections of one worker to upstreams, kept alive between exchanges. A
 * connection carries one exchange at a time. It is closed, never used again, after a
 * timeout, a cancelled exchange, or an answer that is late, short, surplus or malformed.
 * An exchange is written at most once. Lives on one thread.
 */
class BackPool
{
public:
  BackPool(TimerService& aTimers, int aConnectionsPerUpstream);
  ~BackPool();

  /** Starts an exchange; its `done` is called later, never from within. */
  std::uint64_t start(Exchange aExchange);

  /** Ends an exchange without calling its `done`. Its connection is closed. */
  void cancel(std::uint64_t aExchange);

  /**
   * An exchange has had no answer in time: idle connections to its upstream that were
   * not heard of since it started are closed, because what silenced the one may have
   * silenced all. The exchange goes on.
   */
  void closeStaleIdle(std::uint64_t aExchange);

  void setConnectionsPerUpstream(int aConnections);
  std::size_t connectionCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall::http
