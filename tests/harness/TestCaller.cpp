#include "TestCaller.h"
#include "Wait.h"
#include <core/Bytes.h>
#include <http/ResponseParser.h>
#include <http/Serializer.h>

namespace masticwall::test {

TestCaller::TestCaller(const QHostAddress& aHost, quint16 aPort)
{
  mSocket.connectToHost(aHost, aPort);
  mSocket.waitForConnected(5000);
}

void
TestCaller::send(const QByteArray& aBytes)
{
  mSocket.write(aBytes);
  mSocket.flush();
}

void
TestCaller::send(const http::Request& aRequest)
{
  send(http::serialize(aRequest));
}

std::optional<http::Response>
TestCaller::receive(int aMostMs, bool aIsHead)
{
  http::ResponseParser parser({ 64 * kKiB, 64 * kMiB }, aIsHead, false);
  std::optional<http::Response> response;
  waitUntil(
    [&] {
      mBytes += mSocket.readAll();
      auto fed = parser.feed(mBytes);
      if (fed.has_error()) {
        return true;
      }
      response = std::move(fed.value());
      return response.has_value() || (!isConnected() && mSocket.bytesAvailable() == 0);
    },
    aMostMs);
  return response;
}

std::optional<RawResponse>
TestCaller::receiveRaw(int aMostMs)
{
  std::optional<RawResponse> response;
  waitUntil(
    [&] {
      mBytes += mSocket.readAll();
      response = RawResponse::take(mBytes);
      return response.has_value() || (!isConnected() && mSocket.bytesAvailable() == 0);
    },
    aMostMs);
  return response;
}

QByteArray
TestCaller::takeRest()
{
  mBytes += mSocket.readAll();
  return std::exchange(mBytes, {});
}

bool
TestCaller::waitForClose(int aMostMs)
{
  return waitUntil([&] { return !isConnected(); }, aMostMs);
}

void
TestCaller::hangUp()
{
  mSocket.abort();
}

http::Request
makeRequest(const std::string& aMethod,
            const std::string& aTarget,
            const http::HeaderList& aHeaders,
            const std::string& aBody)
{
  http::Request request;
  request.method = aMethod;
  request.target = aTarget;
  request.headers = aHeaders;
  request.headers.push_back({ "Host", "masticwall" });
  request.body = aBody;
  return request;
}

std::optional<http::Response>
callOnce(const QHostAddress& aHost,
         quint16 aPort,
         const http::Request& aRequest,
         int aMostMs)
{
  TestCaller caller(aHost, aPort);
  if (!caller.isConnected()) {
    return std::nullopt;
  }
  caller.send(aRequest);
  return caller.receive(aMostMs, aRequest.method == "HEAD");
}

int
statusOf(const std::optional<http::Response>& aResponse)
{
  return aResponse.has_value() ? static_cast<int>(aResponse->status) : 0;
}

std::string
outcomeOf(const http::Response& aResponse)
{
  return std::string(http::findHeader(aResponse.headers, "Masticwall-Outcome"));
}

std::string
reasonOf(const http::Response& aResponse)
{
  return std::string(http::findHeader(aResponse.headers, "Masticwall-Reason"));
}

} // namespace masticwall::test
