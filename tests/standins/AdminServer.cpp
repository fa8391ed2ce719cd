#include "AdminServer.h"
#include <QUrl>
#include <core/Bytes.h>
#include <cstdio>
#include <cstdlib>

namespace masticwall::standin {

http::Response
okResponse(const QByteArray& aBody)
{
  http::Response response;
  response.body = aBody.toStdString();
  return response;
}

QUrlQuery
queryOf(const http::Request& aRequest)
{
  return QUrlQuery(QUrl(QString::fromStdString(aRequest.target)));
}

QString
pathOf(const http::Request& aRequest)
{
  return QUrl(QString::fromStdString(aRequest.target)).path();
}

std::unique_ptr<http::HttpListener>
listenOrExit(TimerService& aTimers,
             const QHostAddress& aHost,
             quint16 aPort,
             http::HttpListener::Handler aHandler)
{
  http::HttpListenerSettings settings;
  settings.message.maxBodyBytes = 64 * kMiB;
  settings.maxPipelined = 10'000;
  auto listener = http::HttpListener::listen(
    aTimers, aHost, aPort, settings, std::move(aHandler), [](const std::error_code&) {
      return http::Response{ 400, {}, {}, false };
    });
  if (listener.has_error()) {
    std::fprintf(
      stderr, "event=listen-failed error=%s\n", listener.error().message().c_str());
    std::exit(1);
  }
  return std::move(listener.value());
}

} // namespace masticwall::standin
