#include "Http2Session.h"
#include <QTcpServer>
#include <peer/PeerServer.h>
#include <unordered_map>

namespace masticwall {

struct PeerServer::Impl
{
  Impl(TimerService& aTimers, Handler aHandler, const PeerTimeouts& aTimeouts)
    : timers(aTimers)
    , handler(std::move(aHandler))
    , timeouts(aTimeouts)
  {
  }

  TimerService& timers;
  Handler handler;
  PeerTimeouts timeouts;
  QTcpServer server;
  std::unordered_map<std::uint64_t, std::shared_ptr<Http2Session>> sessions;
  std::uint64_t nextSessionId = 1;

  void acceptAll()
  {
    while (auto* const socket = server.nextPendingConnection()) {
      socket->setParent(nullptr);
      accept(socket);
    }
  }

  void accept(QTcpSocket* aSocket)
  {
    const auto id = nextSessionId++;
    Http2Session::Callbacks callbacks;
    callbacks.onMessage = [this, id](std::int32_t aStream, Http2Message aMessage) {
      serve(id, aStream, std::move(aMessage));
    };
    callbacks.onStreamClosed = [](std::int32_t) {};
    callbacks.onConnectionLost = [this, id](bool) { sessions.erase(id); };
    const auto session = std::make_shared<Http2Session>(
      Http2Role::Server, aSocket, timers, timeouts, std::move(callbacks));
    sessions[id] = session;
    session->start();
  }

  void serve(std::uint64_t aSessionId, std::int32_t aStream, Http2Message aMessage)
  {
    const std::weak_ptr<Http2Session> weak = sessions[aSessionId];
    handler(aMessage.path,
            std::move(aMessage.body),
            [weak, aStream](const std::optional<QByteArray>& aReply) {
              const auto session = weak.lock();
              if (session == nullptr) {
                return;
              }
              const char* const status = aReply.has_value() ? "200" : "404";
              session->submitReply(aStream, status, aReply.value_or(QByteArray()));
            });
  }
};

Result<std::unique_ptr<PeerServer>>
PeerServer::listen(TimerService& aTimers,
                   const QHostAddress& aHost,
                   std::uint16_t aPort,
                   Handler aHandler,
                   const PeerTimeouts& aTimeouts)
{
  auto impl = std::make_unique<Impl>(aTimers, std::move(aHandler), aTimeouts);
  auto* const raw = impl.get();
  QObject::connect(
    &raw->server, &QTcpServer::newConnection, &raw->server, [raw] { raw->acceptAll(); });
  if (!raw->server.listen(aHost, aPort)) {
    return std::make_error_code(std::errc::address_in_use);
  }
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

PeerServer::PeerServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

PeerServer::~PeerServer() = default;

std::uint16_t
PeerServer::port() const
{
  return mImpl->server.serverPort();
}

} // namespace masticwall
