#include "BackConnection.h"
#include <algorithm>
#include <http/BackError.h>
#include <http/BackPool.h>
#include <map>
#include <vector>

namespace masticwall::http {

namespace {

/** How long after it was last heard of a connection counts as alive. */
constexpr Duration kProvenFor = std::chrono::seconds(1);

/** An idle connection that has not been heard of for so long is closed. */
constexpr Duration kIdleLimit = std::chrono::seconds(30);
/** A connection is not used so shortly before the other end may close it. */
constexpr Duration kIdleMargin = std::chrono::seconds(1);
constexpr Duration kSweepPeriod = std::chrono::seconds(5);

} // namespace

struct BackPool::Impl
{
  using Address = std::pair<std::uint32_t, std::uint16_t>;
  using Connections = std::vector<std::shared_ptr<BackConnection>>;

  /** An exchange in progress. */
  struct Active
  {
    std::weak_ptr<BackConnection> connection;
    Address address;
    Instant startedAt;
  };

  TimerService& timers;
  int perUpstream;
  std::map<Address, Connections> byAddress;
  std::map<std::uint64_t, Active> byExchange;
  std::map<std::uint64_t, TimerHandle> refused;
  std::uint64_t nextExchange = 1;
  TimerHandle sweep;

  /** The idle connection heard of last; null if none may carry the exchange. */
  std::shared_ptr<BackConnection> findIdle(const Connections& aConnections,
                                           bool aProvenOnly) const
  {
    std::shared_ptr<BackConnection> best;
    for (const auto& it : aConnections) {
      const bool isSafe = timers.now() - it->lastAlive() < it->idleLimit() - kIdleMargin;
      if (it->isIdle() && isSafe &&
          (best == nullptr || it->lastAlive() > best->lastAlive())) {
        best = it;
      }
    }
    const bool isUnproven =
      best != nullptr && aProvenOnly && timers.now() - best->lastAlive() > kProvenFor;
    return isUnproven ? nullptr : best;
  }

  /** Closes the idle connection that was heard of longest ago, to make room. */
  static void closeOldestIdle(Connections& aConnections)
  {
    std::shared_ptr<BackConnection> oldest;
    for (const auto& it : aConnections) {
      if (it->isIdle() && (oldest == nullptr || it->lastAlive() < oldest->lastAlive())) {
        oldest = it;
      }
    }
    if (oldest != nullptr) {
      oldest->abandon();
    }
  }

  std::shared_ptr<BackConnection> open(const Address& aAddress, const Exchange& aExchange)
  {
    auto& connections = byAddress[aAddress];
    if (connections.size() >= static_cast<std::size_t>(perUpstream)) {
      closeOldestIdle(connections);
    }
    if (connections.size() >= static_cast<std::size_t>(perUpstream)) {
      return nullptr;
    }
    auto connection =
      std::make_shared<BackConnection>(timers,
                                       aExchange.host,
                                       aExchange.port,
                                       [this, aAddress](BackConnection& aConnection) {
                                         if (aConnection.isClosed()) {
                                           drop(aAddress, aConnection);
                                         }
                                       });
    connections.push_back(connection);
    return connection;
  }

  void drop(const Address& aAddress, const BackConnection& aConnection)
  {
    std::erase_if(byAddress[aAddress],
                  [&](const auto& aOther) { return aOther.get() == &aConnection; });
  }

  void closeStaleIdle(std::uint64_t aExchange)
  {
    const auto it = byExchange.find(aExchange);
    if (it != byExchange.end()) {
      const auto active = it->second;
      closeUnprovenSince(active.address, active.startedAt);
    }
  }

  void closeUnprovenSince(const Address& aAddress, Instant aSince)
  {
    const auto connections = byAddress[aAddress];
    for (const auto& it : connections) {
      if (it->isIdle() && it->lastAlive() < aSince) {
        it->abandon();
      }
    }
  }

  void closeOld()
  {
    const auto before = timers.now() - kIdleLimit;
    for (auto it = byAddress.begin(); it != byAddress.end();) {
      closeUnprovenSince(it->first, before);
      it = it->second.empty() ? byAddress.erase(it) : std::next(it);
    }
  }

  /** Reports, from the event loop, that the limit of connections is reached. */
  void refuse(std::uint64_t aId, std::function<void(BackResult)> aDone)
  {
    refused[aId] =
      timers.scheduleAfter(Duration{ 0 }, [this, aId, done = std::move(aDone)] {
        const auto callback = done;
        refused.erase(aId);
        callback({ BackError::NoConnection, false, {} });
      });
  }
};

BackPool::BackPool(TimerService& aTimers, int aConnectionsPerUpstream)
  : mImpl(std::make_unique<Impl>(Impl{ aTimers, 1, {}, {}, {}, 1, {} }))
{
  setConnectionsPerUpstream(aConnectionsPerUpstream);
  auto* const impl = mImpl.get();
  impl->sweep = aTimers.scheduleEvery(kSweepPeriod, [impl] { impl->closeOld(); });
}

BackPool::~BackPool()
{
  const auto byAddress = mImpl->byAddress;
  for (const auto& [address, connections] : byAddress) {
    for (const auto& it : connections) {
      it->abandon();
    }
  }
}

std::uint64_t
BackPool::start(Exchange aExchange)
{
  auto* const impl = mImpl.get();
  const auto id = impl->nextExchange++;
  const Impl::Address address{ aExchange.host.toIPv4Address(), aExchange.port };
  auto connection =
    impl->findIdle(impl->byAddress[address], aExchange.recentlyActiveOnly);
  if (connection == nullptr) {
    connection = impl->open(address, aExchange);
  }
  if (connection == nullptr) {
    impl->refuse(id, std::move(aExchange.done));
    return id;
  }
  aExchange.done = [impl, id, done = std::move(aExchange.done)](BackResult aResult) {
    if (aResult.error == BackError::Timeout) {
      impl->closeStaleIdle(id);
    }
    impl->byExchange.erase(id);
    done(std::move(aResult));
  };
  impl->byExchange[id] = { connection, address, impl->timers.now() };
  connection->carry(id, std::move(aExchange));
  return id;
}

void
BackPool::cancel(std::uint64_t aExchange)
{
  mImpl->refused.erase(aExchange);
  const auto it = mImpl->byExchange.find(aExchange);
  if (it == mImpl->byExchange.end()) {
    return;
  }
  const auto connection = it->second.connection.lock();
  mImpl->byExchange.erase(it);
  if (connection != nullptr && connection->exchangeId() == aExchange) {
    connection->abandon();
  }
}

void
BackPool::closeStaleIdle(std::uint64_t aExchange)
{
  mImpl->closeStaleIdle(aExchange);
}

void
BackPool::setConnectionsPerUpstream(int aConnections)
{
  mImpl->perUpstream = std::max(1, aConnections);
}

std::size_t
BackPool::connectionCount() const
{
  std::size_t n = 0;
  for (const auto& [address, connections] : mImpl->byAddress) {
    n += connections.size();
  }
  return n;
}

} // namespace masticwall::http
