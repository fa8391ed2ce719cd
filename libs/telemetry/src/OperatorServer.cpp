#include <QHttpServer>
#include <QJsonDocument>
#include <telemetry/OperatorServer.h>

namespace masticwall {

struct OperatorServer::Impl
{
  QHttpServer server;
  OperatorPages pages;
};

namespace {

QHttpServerResponse
makeTextResponse(const std::string& aText)
{
  return { QByteArrayLiteral("text/plain"), QByteArray::fromStdString(aText) };
}

QHttpServerResponse
makeHealthResponse(const OperatorPages& aHandlers)
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
                       OperatorPages aHandlers)
{
  auto impl = std::make_unique<Impl>();
  impl->pages = std::move(aHandlers);
  auto& server = impl->server;
  const auto* const pages = &impl->pages;
  server.route(QStringLiteral("/ready"), [pages] {
    const bool isReady = pages->isReady != nullptr && pages->isReady();
    return QHttpServerResponse(isReady
                                 ? QHttpServerResponse::StatusCode::Ok
                                 : QHttpServerResponse::StatusCode::ServiceUnavailable);
  });
  server.route(QStringLiteral("/health"), [pages] { return makeHealthResponse(*pages); });
  server.route(QStringLiteral("/state"),
               [pages] { return QHttpServerResponse(pages->state()); });
  server.route(QStringLiteral("/metrics"), [pages] {
    return makeTextResponse(pages->metrics ? pages->metrics() : std::string());
  });
  server.route(QStringLiteral("/version"),
               [] { return makeTextResponse(MASTICWALL_VERSION "\n"); });
  server.route(QStringLiteral("/drain"), QHttpServerRequest::Method::Post, [pages] {
    pages->drain();
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
