#pragma once

#include <QHostAddress>
#include <core/Result.h>
#include <functional>
#include <http/ByteBudget.h>
#include <http/HttpListenerSettings.h>
#include <http/Request.h>
#include <http/Responder.h>
#include <memory>
#include <runtime/TimerService.h>

namespace masticwall::http {

/**
 * Accepts callers' connections on a port that several listeners may share (one for each
 * worker), parses their requests and passes each to the handler. A request that
 * can't be parsed gets a 4xx response and its connection is closed. Use on one thread.
 *
 * If the messages that connections hold exceed the budget of bytes, the connection whose
 * caller has left the most of its responses untaken is reset.
 *
 * A request for whose body the budget of bodies has no room is refused before its body is
 * read, or, if it doesn't say its length, where the room ends; HttpError::NoRoom.
 *
 * At the limit of connections, a new one takes the place of the one that has been idle
 * for longest. While none is idle, no connection is accepted; those that come wait in the
 * system's queue.
 */
class HttpListener
{
public:
  using Handler = std::function<void(Request, ResponderPtr)>;
  /** Makes the response to a request that could not be parsed, from its error. */
  using ErrorResponder = std::function<Response(const std::error_code&)>;
  /** Called when the system refuses to accept a connection, e.g. for want of descriptors.
   * The listener tries again after a while. */
  using AcceptErrorObserver = std::function<void(const std::string& aError)>;

  /** Fails with the system's error if the port can't be listened on. */
  static Result<std::unique_ptr<HttpListener>> listen(
    TimerService& aTimers,
    const QHostAddress& aHost,
    std::uint16_t aPort,
    const HttpListenerSettings& aSettings,
    Handler aHandler,
    ErrorResponder aErrorResponder,
    AcceptErrorObserver aOnAcceptError = nullptr,
    std::shared_ptr<ByteBudget> aBudget = makeDefaultBudget(),
    std::shared_ptr<ByteBudget> aBodies = nullptr);
  ~HttpListener();

  std::uint16_t port() const;

  /**
   * From now on no request is read behind one that is in progress, and a connection's
   * last pending response carries "Connection: close" and closes it. Idle connections
   * stay open; see closeIdle().
   */
  void closeAfterResponses();

  /** Accepts the connections in the accept queue, then closes the listening socket. */
  void stopAccepting();

  /** Closes connections that have had no request in progress for at least `aIdleFor`. */
  void closeIdle(Duration aIdleFor);

  std::size_t connectionCount() const;

  /** Changes the limits on the time to receive a request and on idle connections. */
  void setTimeouts(Duration aRequestTimeout, Duration aIdleTimeout);

  /** Changes the size limits of requests whose first byte is read from now on. */
  void setMessageLimits(const MessageLimits& aLimits);

private:
  static std::shared_ptr<ByteBudget> makeDefaultBudget()
  {
    return std::make_shared<ByteBudget>(kDefaultBudgetBytes);
  }

  static constexpr std::size_t kDefaultBudgetBytes = 64 * kMiB;

  struct Impl;
  explicit HttpListener(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall::http
