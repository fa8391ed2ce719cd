#pragma once

#include <QUrlQuery>
#include <functional>
#include <http/HttpListener.h>

namespace masticwall::standin {

/** An answer of status 200 with a body. */
http::Response
okResponse(const QByteArray& aBody);

/** The query of a request's target. */
QUrlQuery
queryOf(const http::Request& aRequest);

/** The path of a request's target, without its query. */
QString
pathOf(const http::Request& aRequest);

/** Listens with the library's own front; ends the process if it can't. */
std::unique_ptr<http::HttpListener>
listenOrExit(TimerService& aTimers,
             const QHostAddress& aHost,
             quint16 aPort,
             http::HttpListener::Handler aHandler);

} // namespace masticwall::standin
