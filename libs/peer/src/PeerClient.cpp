#include "Http2Session.h"
#include <map>
#include <peer/PeerClient.h>
#include <peer/PeerError.h>
#include <vector>

namespace masticwall {

struct PeerClient::Impl : std::enable_shared_from_this<PeerClient::Impl>
{
  /** A request that has no reply yet. */
  struct PendingRequest
  {
    std::string path;
    QByteArray body;
    Callback done;
    TimerHandle timeoutTimer;
    std::int32_t stream = 0; ///< 0: not submitted yet, e.g. until connected
  };

  Impl(TimerService& aTimers,
       const QHostAddress& aHost,
       std::uint16_t aPort,
       const PeerTimeouts& aTimeouts)
    : timers(aTimers)
    , host(aHost)
    , port(aPort)
    , timeouts(aTimeouts)
  {
  }

  TimerService& timers;
  QHostAddress host;
  std::uint16_t port;
  PeerTimeouts timeouts;
  std::map<std::uint64_t, PendingRequest> pendingRequests;
  std::uint64_t nextRequestId = 1;
  std::shared_ptr<Http2Session> session;
  QTcpSocket* connectingSocket = nullptr; ///< owned until it is connected
  TimerHandle connectTimer;

  ~Impl() { cancelConnect(); }

  void cancelConnect()
  {
    if (connectingSocket != nullptr) {
      connectingSocket->disconnect();
      connectingSocket->abort();
      connectingSocket->deleteLater();
      connectingSocket = nullptr;
    }
    connectTimer.cancel();
  }

  void addRequest(PendingRequest aRequest, Duration aTimeout)
  {
    const auto id = nextRequestId++;
    const std::weak_ptr<Impl> weak = weak_from_this();
    aRequest.timeoutTimer = timers.scheduleAfter(aTimeout, [weak, id] {
      if (const auto self = weak.lock()) {
        self->onTimeout(id);
      }
    });
    pendingRequests.emplace(id, std::move(aRequest));
    if (session != nullptr) {
      submitQueued();
    } else if (connectingSocket == nullptr) {
      startConnect();
    }
  }

  void onTimeout(std::uint64_t aId)
  {
    const auto it = pendingRequests.find(aId);
    const auto stream = it == pendingRequests.end() ? 0 : it->second.stream;
    // Before the reset, which closes the stream and would report PeerError::Lost instead.
    finish(aId, PeerError::Timeout);
    if (stream > 0 && session != nullptr) {
      session->resetStream(stream);
    }
  }

  void startConnect()
  {
    connectingSocket = new QTcpSocket;
    const std::weak_ptr<Impl> weak = weak_from_this();
    QObject::connect(connectingSocket, &QTcpSocket::connected, connectingSocket, [weak] {
      if (const auto self = weak.lock()) {
        self->onConnected();
      }
    });
    const auto fail = [weak] {
      if (const auto self = weak.lock()) {
        self->cancelConnect();
        self->failAll(PeerError::ConnectFailed);
      }
    };
    QObject::connect(
      connectingSocket, &QTcpSocket::errorOccurred, connectingSocket, fail);
    connectTimer = timers.scheduleAfter(timeouts.connectTimeout, fail);
    connectingSocket->connectToHost(host, port);
  }

  void onConnected()
  {
    auto* const socket = std::exchange(connectingSocket, nullptr);
    connectTimer.cancel();
    socket->disconnect();
    const std::weak_ptr<Impl> weak = weak_from_this();
    Http2Session::Callbacks callbacks;
    callbacks.onMessage = [weak](std::int32_t aStream, Http2Message aMessage) {
      if (const auto self = weak.lock()) {
        self->onReply(aStream, std::move(aMessage));
      }
    };
    callbacks.onStreamClosed = [weak](std::int32_t aStream) {
      if (const auto self = weak.lock()) {
        self->finishStream(aStream, PeerError::Lost);
      }
    };
    callbacks.onConnectionLost = [weak](bool aIsSilent) {
      if (const auto self = weak.lock()) {
        self->session.reset();
        self->failAll(aIsSilent ? PeerError::Silent : PeerError::Lost);
      }
    };
    session = std::make_shared<Http2Session>(
      Http2Role::Client, socket, timers, timeouts, std::move(callbacks));
    session->start();
    submitQueued();
  }

  void submitQueued()
  {
    for (auto& [id, request] : pendingRequests) {
      if (request.stream == 0 && session != nullptr) {
        const auto stream = session->submitRequest(request.path, request.body);
        request.stream = std::max<std::int32_t>(0, stream);
      }
    }
  }

  void onReply(std::int32_t aStream, Http2Message aMessage)
  {
    if (aMessage.status != "200") {
      finishStream(aStream, PeerError::Refused);
      return;
    }
    finishStream(aStream, std::move(aMessage.body));
  }

  void finishStream(std::int32_t aStream, Result<QByteArray> aResult)
  {
    for (const auto& [id, request] : pendingRequests) {
      if (request.stream == aStream) {
        finish(id, std::move(aResult));
        return;
      }
    }
  }

  void finish(std::uint64_t aId, Result<QByteArray> aResult)
  {
    const auto it = pendingRequests.find(aId);
    if (it == pendingRequests.end()) {
      return;
    }
    // From the event loop: the callback may destroy this client or send another request.
    auto done = std::move(it->second.done);
    pendingRequests.erase(it);
    auto* const context = new QObject;
    QMetaObject::invokeMethod(
      context,
      [context, done = std::move(done), result = std::move(aResult)] {
        context->deleteLater();
        done(result);
      },
      Qt::QueuedConnection);
  }

  void failAll(PeerError aError)
  {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, request] : pendingRequests) {
      ids.push_back(id);
    }
    for (const auto id : ids) {
      finish(id, aError);
    }
  }
};

PeerClient::PeerClient(TimerService& aTimers,
                       const QHostAddress& aHost,
                       std::uint16_t aPort,
                       const PeerTimeouts& aTimeouts)
  : mImpl(std::make_shared<Impl>(aTimers, aHost, aPort, aTimeouts))
{
}

PeerClient::~PeerClient() = default;

void
PeerClient::request(const std::string& aPath,
                    QByteArray aBody,
                    Duration aTimeout,
                    Callback aDone)
{
  Impl::PendingRequest request;
  request.path = aPath;
  request.body = std::move(aBody);
  request.done = std::move(aDone);
  mImpl->addRequest(std::move(request), aTimeout);
}

} // namespace masticwall
