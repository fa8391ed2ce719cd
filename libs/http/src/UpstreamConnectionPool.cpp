#include "PooledConnection.h"
#include <algorithm>
#include <http/ExchangeError.h>
#include <http/UpstreamConnectionPool.h>
#include <limits>
#include <map>
#include <vector>

namespace masticwall::http {

namespace {

/** A connection counts as recently active for this long after its last activity. */
constexpr Duration kRecentActivityPeriod = std::chrono::seconds(1);

/** Idle connections without activity for this long are closed. */
constexpr Duration kMaxIdleTime = std::chrono::seconds(30);

/** A connection is not reused in the last part, of this length, of its Keep-Alive
 * timeout: the upstream may close it while the request is sent. */
constexpr Duration kKeepAliveMargin = std::chrono::seconds(1);

/** How often expired idle connections are closed. */
constexpr Duration kSweepPeriod = std::chrono::seconds(5);

} // namespace

struct UpstreamConnectionPool::Impl
{
  using Address = std::pair<std::uint32_t, std::uint16_t>;
  using Connections = std::vector<std::shared_ptr<PooledConnection>>;

  /** An exchange in progress. */
  struct ActiveExchange
  {
    std::weak_ptr<PooledConnection> connection;
    Address address;
    Instant startedAt;
  };

  Impl(TimerService& aTimers, std::shared_ptr<ByteBudget> aBudget)
    : timers(aTimers)
    , budget(std::move(aBudget))
  {
  }

  TimerService& timers;
  std::shared_ptr<ByteBudget> budget;
  int maxPerUpstream = 1;
  std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
  std::size_t connectionCount = 0;
  std::map<Address, Connections> connectionsByAddress;
  std::map<std::uint64_t, ActiveExchange> activeExchanges;
  /** By exchange id: NoConnection errors that have not been reported yet. */
  std::map<std::uint64_t, TimerHandle> pendingErrors;
  std::uint64_t nextExchangeId = 1;
  TimerHandle sweepTimer;

  /** The usable idle connection with the latest activity; null if there is none. */
  std::shared_ptr<PooledConnection> findIdle(const Connections& aConnections,
                                             bool aRecentlyActiveOnly) const
  {
    std::shared_ptr<PooledConnection> best;
    for (const auto& it : aConnections) {
      const bool isUsable =
        timers.now() - it->lastActivity() < it->keepAliveTimeout() - kKeepAliveMargin;
      if (it->isIdle() && isUsable &&
          (best == nullptr || it->lastActivity() > best->lastActivity())) {
        best = it;
      }
    }
    const bool isInactive = best != nullptr && aRecentlyActiveOnly &&
                            timers.now() - best->lastActivity() > kRecentActivityPeriod;
    return isInactive ? nullptr : best;
  }

  using ConnectionPtr = std::shared_ptr<PooledConnection>;

  /** Sets `aLeastRecent` to the idle connection whose last activity is the earliest,
   * among it and `aConnections`. */
  static void findLeastRecentlyActiveIdle(const Connections& aConnections,
                                          ConnectionPtr& aLeastRecent)
  {
    for (const auto& it : aConnections) {
      if (it->isIdle() && (aLeastRecent == nullptr ||
                           it->lastActivity() < aLeastRecent->lastActivity())) {
        aLeastRecent = it;
      }
    }
  }

  static void closeIfAny(const ConnectionPtr& aConnection)
  {
    if (aConnection != nullptr) {
      aConnection->cancelAndClose();
    }
  }

  /** Closes idle connections as far as the limits on an upstream's connections and on all
   * connections require it for one more. */
  void makeRoom(const Connections& aConnections)
  {
    if (aConnections.size() >= static_cast<std::size_t>(maxPerUpstream)) {
      ConnectionPtr leastRecent;
      findLeastRecentlyActiveIdle(aConnections, leastRecent);
      closeIfAny(leastRecent);
    }
    if (connectionCount >= maxConnections) {
      ConnectionPtr leastRecent;
      for (const auto& [address, connections] : connectionsByAddress) {
        findLeastRecentlyActiveIdle(connections, leastRecent);
      }
      closeIfAny(leastRecent);
    }
  }

  /** Creates a connection; null if the limit is reached and none is idle. */
  std::shared_ptr<PooledConnection> open(const Address& aAddress,
                                         const Exchange& aExchange)
  {
    auto& connections = connectionsByAddress[aAddress];
    makeRoom(connections);
    if (connections.size() >= static_cast<std::size_t>(maxPerUpstream) ||
        connectionCount >= maxConnections) {
      return nullptr;
    }
    auto connection =
      std::make_shared<PooledConnection>(timers,
                                         aExchange.host,
                                         aExchange.port,
                                         budget,
                                         [this, aAddress](PooledConnection& aConnection) {
                                           if (aConnection.isClosed()) {
                                             remove(aAddress, aConnection);
                                           } else if (aConnection.isBudgetExceeded()) {
                                             endLargest();
                                           }
                                         });
    connections.push_back(connection);
    ++connectionCount;
    return connection;
  }

  void remove(const Address& aAddress, const PooledConnection& aConnection)
  {
    connectionCount -=
      std::erase_if(connectionsByAddress[aAddress],
                    [&](const auto& aOther) { return aOther.get() == &aConnection; });
  }

  void closeStaleIdle(std::uint64_t aExchangeId)
  {
    const auto it = activeExchanges.find(aExchangeId);
    if (it != activeExchanges.end()) {
      const auto active = it->second;
      closeIdleInactiveSince(active.address, active.startedAt);
    }
  }

  void closeIdleInactiveSince(const Address& aAddress, Instant aSince)
  {
    const auto connections = connectionsByAddress[aAddress];
    for (const auto& it : connections) {
      if (it->isIdle() && it->lastActivity() < aSince) {
        it->cancelAndClose();
      }
    }
  }

  void closeExpired()
  {
    const auto before = timers.now() - kMaxIdleTime;
    for (auto it = connectionsByAddress.begin(); it != connectionsByAddress.end();) {
      closeIdleInactiveSince(it->first, before);
      it = it->second.empty() ? connectionsByAddress.erase(it) : std::next(it);
    }
  }

  /** Ends the exchange whose response takes the most memory. */
  void endLargest()
  {
    ConnectionPtr largest;
    for (const auto& [id, active] : activeExchanges) {
      const auto connection = active.connection.lock();
      if (connection != nullptr && (largest == nullptr || connection->bufferedBytes() >
                                                            largest->bufferedBytes())) {
        largest = connection;
      }
    }
    if (largest != nullptr && largest->bufferedBytes() > 0) {
      largest->endOverBudget();
    }
  }

  /** Reports NoConnection from the event loop: the connection limit is reached. */
  void failWithNoConnection(std::uint64_t aId, std::function<void(ExchangeResult)> aDone)
  {
    pendingErrors[aId] =
      timers.scheduleAfter(Duration{ 0 }, [this, aId, done = std::move(aDone)] {
        const auto callback = done;
        pendingErrors.erase(aId);
        callback({ ExchangeError::NoConnection, {}, false, {}, 0 });
      });
  }
};

UpstreamConnectionPool::UpstreamConnectionPool(TimerService& aTimers,
                                               int aMaxConnectionsPerUpstream,
                                               std::shared_ptr<ByteBudget> aBudget)
  : mImpl(std::make_unique<Impl>(aTimers, std::move(aBudget)))
{
  setConnectionsPerUpstream(aMaxConnectionsPerUpstream);
  auto* const impl = mImpl.get();
  impl->sweepTimer =
    aTimers.scheduleEvery(kSweepPeriod, [impl] { impl->closeExpired(); });
}

UpstreamConnectionPool::~UpstreamConnectionPool()
{
  const auto connectionsByAddress = mImpl->connectionsByAddress;
  for (const auto& [address, connections] : connectionsByAddress) {
    for (const auto& it : connections) {
      it->cancelAndClose();
    }
  }
}

std::uint64_t
UpstreamConnectionPool::start(Exchange aExchange)
{
  auto* const impl = mImpl.get();
  const auto id = impl->nextExchangeId++;
  aExchange.limits.maxBodyBytes = std::min<std::uint64_t>(
    aExchange.limits.maxBodyBytes, impl->budget->maxMessageBytes());
  const Impl::Address address{ aExchange.host.toIPv4Address(), aExchange.port };
  auto connection =
    impl->findIdle(impl->connectionsByAddress[address], aExchange.recentlyActiveOnly);
  if (connection == nullptr) {
    connection = impl->open(address, aExchange);
  }
  if (connection == nullptr) {
    impl->failWithNoConnection(id, std::move(aExchange.done));
    return id;
  }
  aExchange.done = [impl, id, done = std::move(aExchange.done)](ExchangeResult aResult) {
    if (aResult.error == ExchangeError::Timeout) {
      impl->closeStaleIdle(id);
    }
    impl->activeExchanges.erase(id);
    done(std::move(aResult));
  };
  impl->activeExchanges[id] = { connection, address, impl->timers.now() };
  connection->startExchange(id, std::move(aExchange));
  return id;
}

void
UpstreamConnectionPool::cancel(std::uint64_t aExchangeId)
{
  mImpl->pendingErrors.erase(aExchangeId);
  const auto it = mImpl->activeExchanges.find(aExchangeId);
  if (it == mImpl->activeExchanges.end()) {
    return;
  }
  const auto connection = it->second.connection.lock();
  mImpl->activeExchanges.erase(it);
  if (connection != nullptr && connection->exchangeId() == aExchangeId) {
    connection->cancelAndClose();
  }
}

void
UpstreamConnectionPool::closeStaleIdle(std::uint64_t aExchangeId)
{
  mImpl->closeStaleIdle(aExchangeId);
}

void
UpstreamConnectionPool::closeWhenIdle(const QHostAddress& aHost, std::uint16_t aPort)
{
  const auto it = mImpl->connectionsByAddress.find({ aHost.toIPv4Address(), aPort });
  if (it == mImpl->connectionsByAddress.end()) {
    return;
  }
  const auto connections = it->second; // closing removes a connection from the pool
  for (const auto& connection : connections) {
    connection->closeWhenIdle();
  }
}

void
UpstreamConnectionPool::setConnectionsPerUpstream(int aMaxConnections)
{
  mImpl->maxPerUpstream = std::max(1, aMaxConnections);
}

void
UpstreamConnectionPool::setMaxConnections(int aMaxConnections)
{
  mImpl->maxConnections = static_cast<std::size_t>(std::max(1, aMaxConnections));
}

std::size_t
UpstreamConnectionPool::connectionCount() const
{
  return mImpl->connectionCount;
}

} // namespace masticwall::http
