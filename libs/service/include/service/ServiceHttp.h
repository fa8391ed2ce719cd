#pragma once

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QUrl>
#include <core/Result.h>
#include <core/Time.h>
#include <functional>

namespace masticwall {

/**
 * HTTP client for the platform's services, without redirects, cookies, caches and
 * credentials. Requests must be idempotent, since Qt may send one twice. After a request
 * that got no complete response, all cached connections are dropped. Not thread-safe; its
 * thread must run a Qt event loop, which also calls the callbacks.
 */
class ServiceHttp
{
public:
  using Callback = std::function<void(Result<QByteArray>)>;

  void get(const QUrl& aUrl, Duration aTimeout, Callback aCallback);

  /**
   * As get(), but fails with NotModified if the resource still has the entity tag `aTag`.
   * A success updates `aTag`, which must outlive the request.
   */
  void getIfChanged(const QUrl& aUrl,
                    QByteArray& aTag,
                    Duration aTimeout,
                    Callback aCallback);
  void post(const QUrl& aUrl,
            const QByteArray& aBody,
            Duration aTimeout,
            Callback aCallback);

private:
  void callWhenFinished(QNetworkReply* aReply, Callback aCallback);

  QNetworkAccessManager mNetwork;
};

} // namespace masticwall
