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

bool
hasNoBody(int aStatus)
{
  return aStatus == 204 || aStatus == 304 || aStatus < 200;
}

} // namespace

QByteArray
serialize(const Request& aRequest)
{
  beast::request<beast::string_body> message;
  message.version(11);
  message.method_string(aRequest.method);
  message.target(aRequest.target);
  addHeaders(message, aRequest.headers);
  message.body() = aRequest.body;
  message.prepare_payload();
  return toBytes(message, false);
}

QByteArray
serialize(const Response& aResponse, bool aIsHead, bool aIsHttp10)
{
  beast::response<beast::string_body> message;
  message.version(aIsHttp10 ? 10 : 11);
  message.result(static_cast<unsigned>(aResponse.status));
  addHeaders(message, aResponse.headers);
  message.keep_alive(aResponse.keepAlive);
  if (!hasNoBody(aResponse.status)) {
    message.content_length(aResponse.body.size());
  }
  message.body() = aResponse.body;
  return toBytes(message, aIsHead || hasNoBody(aResponse.status));
}

} // namespace masticwall::http
