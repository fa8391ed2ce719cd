#include <QNetworkReply>
#include <QNetworkRequest>
#include <service/ServiceError.h>
#include <service/ServiceHttp.h>

namespace masticwall {

namespace {

constexpr int kNotModified = 304;

QNetworkRequest
plainRequest(const QUrl& aUrl, Duration aTimeout)
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
resultOf(QNetworkReply& aReply)
{
  const auto status = aReply.attribute(QNetworkRequest::HttpStatusCodeAttribute);
  if (!status.isValid()) {
    return ServiceError::Unreachable;
  }
  if (status.toInt() == kNotModified) {
    return ServiceError::NotModified;
  }
  if (status.toInt() != 200) {
    return ServiceError::Refused;
  }
  if (aReply.error() != QNetworkReply::NoError) {
    return ServiceError::Unreachable;
  }
  return aReply.readAll();
}

} // namespace

void
ServiceHttp::get(const QUrl& aUrl, Duration aTimeout, Done aDone)
{
  watch(mNetwork.get(plainRequest(aUrl, aTimeout)), std::move(aDone));
}

void
ServiceHttp::getIfChanged(const QUrl& aUrl,
                          QByteArray& aTag,
                          Duration aTimeout,
                          Done aDone)
{
  auto request = plainRequest(aUrl, aTimeout);
  if (!aTag.isEmpty()) {
    request.setRawHeader("If-None-Match", aTag);
  }
  auto* const reply = mNetwork.get(request);
  QObject::connect(reply, &QNetworkReply::finished, reply, [reply, &aTag] {
    if (reply->error() == QNetworkReply::NoError && reply->hasRawHeader("ETag")) {
      aTag = reply->rawHeader("ETag");
    }
  });
  watch(reply, std::move(aDone));
}

void
ServiceHttp::post(const QUrl& aUrl,
                  const QByteArray& aBody,
                  Duration aTimeout,
                  Done aDone)
{
  auto request = plainRequest(aUrl, aTimeout);
  request.setHeader(QNetworkRequest::ContentTypeHeader,
                    QByteArrayLiteral("application/octet-stream"));
  watch(mNetwork.post(request, aBody), std::move(aDone));
}

void
ServiceHttp::watch(QNetworkReply* aReply, Done aDone)
{
  QObject::connect(
    aReply, &QNetworkReply::finished, aReply, [this, aReply, done = std::move(aDone)] {
      aReply->deleteLater();
      const auto result = resultOf(*aReply);
      if (result.has_error() && result.error() == ServiceError::Unreachable) {
        mNetwork.clearConnectionCache();
      }
      done(result);
    });
}

} // namespace masticwall
