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
 * that got no complete response, all cached connections are dropped, so that the next
 * request opens a new one. Not thread-safe; its thread must run a Qt event loop, which
 * also calls the callbacks.
 */
class ServiceHttp
{
public:
  /** Gets the body of a response with status 200, or a ServiceError. */
  using Callback = std::function<void(Result<QByteArray>)>;

  /** A request fails if no bytes are transferred for `aTimeout`. */
  void get(const QUrl& aUrl, Duration aTimeout, Callback aCallback);

  /**
   * As get(), but fails with NotModified if the resource still has the entity tag `aTag`
   * (empty: none known). A success updates `aTag` from the ETag header, if there is one;
   * `aTag` must outlive the request.
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
