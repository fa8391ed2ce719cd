#include "BeastMessage.h"
#include <http/Serializer.h>

namespace masticwall::http {

namespace {

template<class Message>
void
addHeaders(Message& aMessage, const HeaderList& aHeaders)
{
  for (const auto& it : aHeaders) {
    aMessage.insert(it.name, it.value);
  }
}

/** Whether the receiver wants to know the length of the body even if there is none. */
bool
mayExpectBody(beast::verb aMethod)
{
  return aMethod == beast::verb::post || aMethod == beast::verb::put ||
         aMethod == beast::verb::patch;
}

bool
hasNoBody(Status aStatus)
{
  return aStatus == 204 || aStatus == 304;
}

// The body is copied once, into the result.
using Body = beast::span_body<const char>;

} // namespace

QByteArray
serialize(const Request& aRequest)
{
  beast::request<Body> message;
  message.version(11);
  message.method_string(aRequest.method);
  message.target(aRequest.target);
  addHeaders(message, aRequest.headers);
  message.body() = { aRequest.body.data(), aRequest.body.size() };
  // Not by prepare_payload(), which throws for a method that may have no body.
  if (!aRequest.body.empty() || mayExpectBody(message.method())) {
    message.content_length(aRequest.body.size());
  }
  return toBytes(message, false);
}

QByteArray
serialize(const Response& aResponse, bool aIsHead, bool aIsHttp10)
{
  beast::response<Body> message;
  message.version(aIsHttp10 ? 10 : 11);
  message.result(static_cast<unsigned>(aResponse.status));
  addHeaders(message, aResponse.headers);
  message.keep_alive(aResponse.keepAlive);
  if (!hasNoBody(aResponse.status)) {
    message.content_length(aResponse.body.size());
  }
  message.body() = { aResponse.body.data(), aResponse.body.size() };
  return toBytes(message, aIsHead || hasNoBody(aResponse.status));
}

} // namespace masticwall::http
