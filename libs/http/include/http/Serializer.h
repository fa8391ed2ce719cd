#pragma once

#include <QByteArray>
#include <http/Request.h>
#include <http/Response.h>

namespace masticwall::http {

/** The bytes of a request, with its framing fields. */
QByteArray
serialize(const Request& aRequest);

/**
 * The bytes of a response, with its framing fields. `aIsHead`: leaves the body out but
 * states its length. `aIsHttp10`: in the form that HTTP/1.0 callers read.
 */
QByteArray
serialize(const Response& aResponse, bool aIsHead, bool aIsHttp10);

} // namespace masticwall::http
