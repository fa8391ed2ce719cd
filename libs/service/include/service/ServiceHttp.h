#pragma once

#include <QByteArray>
#include <QUrl>
#include <core/Result.h>
#include <core/Time.h>
#include <functional>
#include <http/UpstreamConnectionPool.h>
#include <memory>
#include <runtime/TimerService.h>

namespace masticwall {

/**
 * HTTP client for the platform's services, at URLs of the form http://IP:PORT/PATH; the
 * IP is of version 4, and services at other hosts are unreachable. Requests must be
 * idempotent: one whose connection ends without a response, as an idle one may when it is
 * used again, is sent once more. A response is read by the rules of those of upstreams,
 * and its bytes are bounded. Not thread-safe; its thread must run a Qt event loop, which
 * also calls the callbacks.
 */
class ServiceHttp
{
public:
  /** Gets the body of a response with status 200 or 202, or a ServiceError. */
  using Callback = std::function<void(Result<QByteArray>)>;

  ServiceHttp();

  /** A request fails if connecting, or the response from the first byte of the request to
   * its last, takes longer than `aTimeout`. */
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
  enum class Resend : std::uint8_t
  {
    Never,
    Once,
  };

  using OnResponse = std::function<void(const Result<http::Response>&)>;

  void send(const QUrl& aUrl,
            const http::Request& aRequest,
            Duration aTimeout,
            Resend aResend,
            const OnResponse& aDone);

  TimerService mTimers;
  http::UpstreamConnectionPool mConnections;
};

} // namespace masticwall
