#include <QHttpServer>
#include <QJsonDocument>
#include <telemetry/OperatorServer.h>

namespace masticwall {

struct OperatorServer::Impl
{
  QHttpServer server;
  OperatorHandlers handlers;
};

namespace {

QHttpServerResponse
makeTextResponse(const std::string& aText)
{
  return { QByteArrayLiteral("text/plain"), QByteArray::fromStdString(aText) };
}

QHttpServerResponse
makeHealthResponse(const OperatorHandlers& aHandlers)
{
  const bool isLeaving = aHandlers.isLeaving();
  const auto status = isLeaving ? QHttpServerResponse::StatusCode::ServiceUnavailable
                                : QHttpServerResponse::StatusCode::Ok;
  return { QJsonObject{ { QStringLiteral("leaving"), isLeaving } }, status };
}

} // namespace

Result<std::unique_ptr<OperatorServer>>
OperatorServer::listen(const QHostAddress& aHost,
                       std::uint16_t aPort,
                       OperatorHandlers aHandlers)
{
  auto impl = std::make_unique<Impl>();
  impl->handlers = std::move(aHandlers);
  auto& server = impl->server;
  const auto* const handlers = &impl->handlers;
  server.route(QStringLiteral("/ready"), [handlers] {
    const bool isReady = handlers->isReady != nullptr && handlers->isReady();
    return QHttpServerResponse(isReady
                                 ? QHttpServerResponse::StatusCode::Ok
                                 : QHttpServerResponse::StatusCode::ServiceUnavailable);
  });
  server.route(QStringLiteral("/health"),
               [handlers] { return makeHealthResponse(*handlers); });
  server.route(QStringLiteral("/state"),
               [handlers] { return QHttpServerResponse(handlers->state()); });
  server.route(QStringLiteral("/metrics"), [handlers] {
    return makeTextResponse(handlers->metrics ? handlers->metrics() : std::string());
  });
  server.route(QStringLiteral("/version"),
               [] { return makeTextResponse(MASTICWALL_VERSION "\n"); });
  server.route(QStringLiteral("/drain"), QHttpServerRequest::Method::Post, [handlers] {
    handlers->drain();
    return QHttpServerResponse(QHttpServerResponse::StatusCode::Accepted);
  });
  if (server.listen(aHost, aPort) == 0) {
    return std::make_error_code(std::errc::address_in_use);
  }
  return std::unique_ptr<OperatorServer>(new OperatorServer(std::move(impl)));
}

OperatorServer::OperatorServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

OperatorServer::~OperatorServer() = default;

} // namespace masticwall
