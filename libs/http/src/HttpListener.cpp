#include "CallerConnection.h"
#include <QTcpServer>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>

namespace masticwall::http {

namespace {

constexpr int kAcceptQueueLength = 1024;
/** How often the connections' timeouts are checked. */
constexpr Duration kTimeoutCheckPeriod = std::chrono::milliseconds(250);
/** After the system has refused to accept a connection. */
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);
/** A connection that was idle for a shorter time may just get its next request. */
constexpr Duration kMinIdleToReplace = std::chrono::milliseconds(250);

/** Opens a listening socket whose port the process's other workers may share. */
Result<int>
listenShared(const QHostAddress& aHost, std::uint16_t aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return std::error_code(errno, std::generic_category());
  }
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(aHost.toIPv4Address());
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, kAcceptQueueLength) != 0) {
    const std::error_code ec(errno, std::generic_category());
    ::close(fd);
    return ec;
  }
  return fd;
}

} // namespace

struct HttpListener::Impl
{
  QTcpServer server;
  std::shared_ptr<CallerConnection::Context> context;
  std::unordered_map<std::uint64_t, std::shared_ptr<CallerConnection>> connections;
  std::uint64_t nextId = 1;
  TimerHandle timeoutCheckTimer;
  TimerHandle acceptRetryTimer;

  /** Returns false if there was nothing to accept, or no room for it. */
  bool acceptAll()
  {
    bool hasAccepted = false;
    while (server.hasPendingConnections() && hasRoom()) {
      hasAccepted = true;
      auto* const socket = server.nextPendingConnection();
      socket->setParent(nullptr);
      const auto id = nextId++;
      const auto connection = std::make_shared<CallerConnection>(
        socket, context, [this, id] { onConnectionClosed(id); });
      connections[id] = connection;
      connection->start();
    }
    return hasAccepted;
  }

  /** Whether one more connection is within the limit; may close an idle one for it. */
  bool hasRoom()
  {
    if (connections.size() < context->settings.maxConnections) {
      return true;
    }
    const Instant now = std::chrono::steady_clock::now();
    std::shared_ptr<CallerConnection> longestIdle;
    for (const auto& [id, connection] : connections) {
      const bool isIdle =
        connection->isIdle() && connection->idleFor(now) >= kMinIdleToReplace;
      if (isIdle && (longestIdle == nullptr ||
                     connection->idleFor(now) > longestIdle->idleFor(now))) {
        longestIdle = connection;
      }
    }
    if (longestIdle != nullptr) {
      longestIdle->close();
    }
    return connections.size() < context->settings.maxConnections;
  }

  void onConnectionClosed(std::uint64_t aId)
  {
    connections.erase(aId);
    acceptAll();
  }

  /** Resets the connection whose caller has left most of its responses untaken. */
  void resetLargest()
  {
    std::shared_ptr<CallerConnection> largest;
    for (const auto& [id, connection] : connections) {
      if (largest == nullptr || connection->untakenBytes() > largest->untakenBytes()) {
        largest = connection;
      }
    }
    if (largest != nullptr && largest->untakenBytes() > 0) {
      largest->reset();
    }
  }

  void retryAccepting()
  {
    if (server.isListening()) {
      server.resumeAccepting();
      acceptAll();
    }
  }

  /** A copy to iterate over: a connection that closes removes itself from the table. */
  std::vector<std::shared_ptr<CallerConnection>> copyConnections() const
  {
    std::vector<std::shared_ptr<CallerConnection>> list;
    list.reserve(connections.size());
    for (const auto& [id, connection] : connections) {
      list.push_back(connection);
    }
    return list;
  }
};

Result<std::unique_ptr<HttpListener>>
HttpListener::listen(TimerService& aTimers,
                     const QHostAddress& aHost,
                     std::uint16_t aPort,
                     const HttpListenerSettings& aSettings,
                     Handler aHandler,
                     ErrorResponder aErrorResponder,
                     AcceptErrorObserver aOnAcceptError,
                     std::shared_ptr<ByteBudget> aBudget,
                     std::shared_ptr<ByteBudget> aBodies)
{
  auto fd = listenShared(aHost, aPort);
  if (fd.has_error()) {
    return fd.error();
  }
  auto impl = std::make_unique<Impl>();
  if (!impl->server.setSocketDescriptor(fd.value())) {
    ::close(fd.value());
    return std::make_error_code(std::errc::bad_file_descriptor);
  }
  impl->context = std::make_shared<CallerConnection::Context>();
  impl->context->settings = aSettings;
  impl->context->handler = std::move(aHandler);
  impl->context->errorResponder = std::move(aErrorResponder);
  impl->context->budget = std::move(aBudget);
  impl->context->bodies = std::move(aBodies);
  auto* const raw = impl.get();
  impl->context->onOverBudget = [raw] { raw->resetLargest(); };
  // Qt accepts no more while one is pending. The others wait in the system's queue, where
  // they take no descriptors of this process.
  raw->server.setMaxPendingConnections(1);
  QObject::connect(
    &raw->server, &QTcpServer::newConnection, &raw->server, [raw] { raw->acceptAll(); });
  auto* const timers = &aTimers;
  QObject::connect(&raw->server,
                   &QTcpServer::acceptError,
                   &raw->server,
                   [raw, timers, observer = std::move(aOnAcceptError)] {
                     if (observer != nullptr) {
                       observer(raw->server.errorString().toStdString());
                     }
                     raw->acceptRetryTimer = timers->scheduleAfter(
                       kAcceptRetryDelay, [raw] { raw->retryAccepting(); });
                   });
  raw->timeoutCheckTimer = aTimers.scheduleEvery(kTimeoutCheckPeriod, [raw, timers] {
    for (const auto& it : raw->copyConnections()) {
      it->checkTimeouts(timers->now());
    }
    raw->acceptAll(); // connections may have become idle that can be replaced
  });
  return std::unique_ptr<HttpListener>(new HttpListener(std::move(impl)));
}

HttpListener::HttpListener(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

HttpListener::~HttpListener() = default;

std::uint16_t
HttpListener::port() const
{
  return mImpl->server.serverPort();
}

void
HttpListener::closeAfterResponses()
{
  mImpl->context->closesAfterResponses = true;
}

void
HttpListener::stopAccepting()
{
  while (mImpl->server.waitForNewConnection(0) && mImpl->acceptAll()) {
  }
  mImpl->server.close();
}

void
HttpListener::closeIdle(Duration aIdleFor)
{
  const Instant now = std::chrono::steady_clock::now();
  for (const auto& it : mImpl->copyConnections()) {
    if (it->isIdle() && it->idleFor(now) >= aIdleFor) {
      it->close();
    }
  }
}

std::size_t
HttpListener::connectionCount() const
{
  return mImpl->connections.size();
}

void
HttpListener::setMessageLimits(const MessageLimits& aLimits)
{
  mImpl->context->settings.message = aLimits;
}

void
HttpListener::setTimeouts(Duration aRequestTimeout, Duration aIdleTimeout)
{
  mImpl->context->settings.requestTimeout = aRequestTimeout;
  mImpl->context->settings.idleTimeout = aIdleTimeout;
}

} // namespace masticwall::http
