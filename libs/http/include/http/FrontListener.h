#pragma once

#include <QHostAddress>
#include <core/Result.h>
#include <functional>
#include <http/FrontSettings.h>
#include <http/Request.h>
#include <http/Responder.h>
#include <memory>
#include <runtime/TimerService.h>

namespace masticwall::http {

/**
 * Accepts callers' connections on a port that several listeners may share (one for each
 * worker), reads their requests and hands each to the handler. Malformed requests are
 * refused with a typed 4xx and their connection closed. Lives on one thread.
 */
class FrontListener
{
public:
  using Handler = std::function<void(Request, ResponderPtr)>;
  /** Answers a request that could not be read: its error, as a whole response. */
  using Refuser = std::function<Response(const std::error_code&)>;

  /** Fails with the system's error if the port can't be listened on. */
  static Result<std::unique_ptr<FrontListener>> listen(TimerService& aTimers,
                                                       const QHostAddress& aHost,
                                                       std::uint16_t aPort,
                                                       const FrontSettings& aSettings,
                                                       Handler aHandler,
                                                       Refuser aRefuser);
  ~FrontListener();

  std::uint16_t port() const;

  /** From now on every answer ends its connection ("Connection: close"). */
  void closeAfterResponses();

  /** Takes what waits in the accept queue and accepts no more. */
  void stopAccepting();

  /** Ends connections without a request in progress for at least `aIdleFor`. */
  void closeIdle(Duration aIdleFor);

  std::size_t connectionCount() const;

  /** Changes how long a request may take to arrive and a connection may be idle. */
  void setTimeouts(Duration aRequestTimeout, Duration aIdleTimeout);

  /** Changes the limits for requests that begin from now on. */
  void setMessageLimits(const MessageLimits& aLimits);

private:
  struct Impl;
  explicit FrontListener(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall::http
