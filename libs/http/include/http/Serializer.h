#pragma once

#include <QByteArray>
#include <http/Request.h>
#include <http/Response.h>

namespace masticwall::http {

/** Encodes a request, with its framing fields. */
QByteArray
serialize(const Request& aRequest);

/**
 * Encodes a response, with its framing fields. `aIsHead`: omits the body but
 * states its length. `aIsHttp10`: as an HTTP/1.0 response.
 */
QByteArray
serialize(const Response& aResponse, bool aIsHead, bool aIsHttp10);

} // namespace masticwall::http
