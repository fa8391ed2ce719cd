#pragma once

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QUrl>
#include <core/Result.h>
#include <core/Time.h>
#include <functional>

namespace masticwall {

/**
 * Idempotent requests to the platform: no redirects, cookies, caches or credentials. A
 * connection on which a request timed out is not used again.
 */
class ServiceHttp
{
public:
  using Done = std::function<void(Result<QByteArray>)>;

  void get(const QUrl& aUrl, Duration aTimeout, Done aDone);

  /** As get(), but fails with NotModified if the answer's entity tag is `aTag`. */
  void getIfChanged(const QUrl& aUrl, QByteArray& aTag, Duration aTimeout, Done aDone);
  void post(const QUrl& aUrl, const QByteArray& aBody, Duration aTimeout, Done aDone);

private:
  void watch(QNetworkReply* aReply, Done aDone);

  QNetworkAccessManager mNetwork;
};

} // namespace masticwall
