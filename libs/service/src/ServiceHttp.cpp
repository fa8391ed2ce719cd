#include <core/Bytes.h>
#include <http/ExchangeError.h>
#include <service/ServiceError.h>
#include <service/ServiceHttp.h>

namespace masticwall {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusNotModified = 304;

/** Long polls keep connections in use. */
constexpr int kMaxConnections = 6;

/** A page of the log is the largest response. While it grows it takes up to three times
 * its size. */
constexpr std::uint64_t kMaxResponseBytes = 16 * kMiB;

/** Of all responses that are being received. */
constexpr std::size_t kMaxBufferedBytes = 2 * kMaxResponseBytes;

http::Request
makeRequest(const char* aMethod, const QUrl& aUrl)
{
  http::Request request;
  request.method = aMethod;
  request.target = aUrl.path(QUrl::FullyEncoded).toStdString();
  if (aUrl.hasQuery()) {
    request.target += '?' + aUrl.query(QUrl::FullyEncoded).toStdString();
  }
  request.headers.push_back({ "Host", aUrl.authority().toStdString() });
  request.headers.push_back({ "Accept-Encoding", "identity" });
  return request;
}

/** The address of an URL's host; null if that is no IP of version 4. */
QHostAddress
addressOf(const QUrl& aUrl)
{
  const QHostAddress address(aUrl.host());
  return address.protocol() == QAbstractSocket::IPv4Protocol ? address : QHostAddress();
}

std::uint16_t
portOf(const QUrl& aUrl)
{
  constexpr int kHttpPort = 80;
  return static_cast<std::uint16_t>(aUrl.port(kHttpPort));
}

ServiceError
toServiceError(const std::error_code& aExchangeError)
{
  return aExchangeError == ExchangeError::BadResponse ? ServiceError::BadResponse
                                                      : ServiceError::Unreachable;
}

/** The body of a successful response. */
Result<QByteArray>
toBody(const Result<http::Response>& aResponse)
{
  if (aResponse.has_error()) {
    return aResponse.error();
  }
  const auto& response = aResponse.value();
  if (response.status == kStatusNotModified) {
    return ServiceError::NotModified;
  }
  if (response.status != kStatusOk && response.status != kStatusAccepted) {
    return ServiceError::Refused;
  }
  return QByteArray::fromStdString(response.body);
}

} // namespace

ServiceHttp::ServiceHttp()
  : mConnections(mTimers,
                 kMaxConnections,
                 std::make_shared<http::ByteBudget>(kMaxBufferedBytes))
{
}

void
ServiceHttp::get(const QUrl& aUrl, Duration aTimeout, Callback aCallback)
{
  send(aUrl,
       makeRequest("GET", aUrl),
       aTimeout,
       Resend::Once,
       [callback = std::move(aCallback)](const Result<http::Response>& aResponse) {
         callback(toBody(aResponse));
       });
}

void
ServiceHttp::getIfChanged(const QUrl& aUrl,
                          QByteArray& aTag,
                          Duration aTimeout,
                          Callback aCallback)
{
  auto request = makeRequest("GET", aUrl);
  if (!aTag.isEmpty()) {
    request.headers.push_back({ "If-None-Match", aTag.toStdString() });
  }
  send(aUrl,
       request,
       aTimeout,
       Resend::Once,
       [&aTag, callback = std::move(aCallback)](const Result<http::Response>& aResponse) {
         const auto body = toBody(aResponse);
         if (body.has_value()) {
           const auto tag = http::findHeader(aResponse.value().headers, "ETag");
           aTag = tag.empty() ? aTag : QByteArray(tag.data(), qsizetype(tag.size()));
         }
         callback(body);
       });
}

void
ServiceHttp::post(const QUrl& aUrl,
                  const QByteArray& aBody,
                  Duration aTimeout,
                  Callback aCallback)
{
  auto request = makeRequest("POST", aUrl);
  request.headers.push_back({ "Content-Type", "application/octet-stream" });
  request.body = aBody.toStdString();
  send(aUrl,
       request,
       aTimeout,
       Resend::Once,
       [callback = std::move(aCallback)](const Result<http::Response>& aResponse) {
         callback(toBody(aResponse));
       });
}

void
ServiceHttp::send(const QUrl& aUrl,
                  const http::Request& aRequest,
                  Duration aTimeout,
                  Resend aResend,
                  const OnResponse& aDone)
{
  http::Exchange exchange;
  exchange.host = addressOf(aUrl);
  exchange.port = portOf(aUrl);
  exchange.request = aRequest;
  exchange.limits.maxBodyBytes = kMaxResponseBytes;
  exchange.allowCloseDelimited = true;
  exchange.connectTimeout = aTimeout;
  exchange.timeout = aTimeout;
  exchange.done = [=, this](const http::ExchangeResult& aResult) {
    if (aResult.error == ExchangeError::Closed && aResend == Resend::Once) {
      send(aUrl, aRequest, aTimeout, Resend::Never, aDone);
    } else if (aResult.error) {
      mConnections.closeWhenIdle(addressOf(aUrl), portOf(aUrl));
      aDone(toServiceError(aResult.error));
    } else {
      aDone(aResult.response);
    }
  };
  mConnections.start(std::move(exchange));
}

} // namespace masticwall
