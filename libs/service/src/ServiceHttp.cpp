#include <QNetworkReply>
#include <QNetworkRequest>
#include <service/ServiceError.h>
#include <service/ServiceHttp.h>

namespace masticwall {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotModified = 304;

QNetworkRequest
makeRequest(const QUrl& aUrl, Duration aTimeout)
{
  QNetworkRequest request(aUrl);
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  request.setAttribute(QNetworkRequest::CookieLoadControlAttribute,
                       QNetworkRequest::Manual);
  request.setAttribute(QNetworkRequest::CookieSaveControlAttribute,
                       QNetworkRequest::Manual);
  request.setAttribute(QNetworkRequest::AuthenticationReuseAttribute,
                       QNetworkRequest::Manual);
  request.setAttribute(QNetworkRequest::CacheLoadControlAttribute,
                       QNetworkRequest::AlwaysNetwork);
  request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
  request.setRawHeader("Accept-Encoding", "identity");
  request.setTransferTimeout(static_cast<int>(toMilliseconds(aTimeout)));
  return request;
}

Result<QByteArray>
toResult(QNetworkReply& aReply)
{
  const auto status = aReply.attribute(QNetworkRequest::HttpStatusCodeAttribute);
  if (!status.isValid()) {
    return ServiceError::Unreachable;
  }
  if (status.toInt() == kStatusNotModified) {
    return ServiceError::NotModified;
  }
  if (status.toInt() != kStatusOk) {
    return ServiceError::Refused;
  }
  // The body may be cut off although the status has arrived.
  if (aReply.error() != QNetworkReply::NoError) {
    return ServiceError::Unreachable;
  }
  return aReply.readAll();
}

} // namespace

void
ServiceHttp::get(const QUrl& aUrl, Duration aTimeout, Callback aCallback)
{
  callWhenFinished(mNetwork.get(makeRequest(aUrl, aTimeout)), std::move(aCallback));
}

void
ServiceHttp::getIfChanged(const QUrl& aUrl,
                          QByteArray& aTag,
                          Duration aTimeout,
                          Callback aCallback)
{
  auto request = makeRequest(aUrl, aTimeout);
  if (!aTag.isEmpty()) {
    request.setRawHeader("If-None-Match", aTag);
  }
  auto* const reply = mNetwork.get(request);
  QObject::connect(reply, &QNetworkReply::finished, reply, [reply, &aTag] {
    if (reply->error() == QNetworkReply::NoError && reply->hasRawHeader("ETag")) {
      aTag = reply->rawHeader("ETag");
    }
  });
  callWhenFinished(reply, std::move(aCallback));
}

void
ServiceHttp::post(const QUrl& aUrl,
                  const QByteArray& aBody,
                  Duration aTimeout,
                  Callback aCallback)
{
  auto request = makeRequest(aUrl, aTimeout);
  request.setHeader(QNetworkRequest::ContentTypeHeader,
                    QByteArrayLiteral("application/octet-stream"));
  callWhenFinished(mNetwork.post(request, aBody), std::move(aCallback));
}

void
ServiceHttp::callWhenFinished(QNetworkReply* aReply, Callback aCallback)
{
  QObject::connect(aReply,
                   &QNetworkReply::finished,
                   aReply,
                   [this, aReply, callback = std::move(aCallback)] {
                     aReply->deleteLater();
                     const auto result = toResult(*aReply);
                     if (result.has_error() &&
                         result.error() == ServiceError::Unreachable) {
                       mNetwork.clearConnectionCache();
                     }
                     callback(result);
                   });
}

} // namespace masticwall
