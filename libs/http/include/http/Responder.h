#pragma once

#include <functional>
#include <http/Response.h>
#include <memory>

namespace masticwall::http {

/**
 * Sends the response to one request. The responses of a connection are written in the
 * order of its requests, whatever the order of the respond() calls. Use it on the
 * connection's thread; it may outlive the connection.
 */
class Responder
{
public:
  virtual ~Responder() = default;

  /** Sends the response; call it once. Ignored if the caller has disconnected. */
  virtual void respond(Response aResponse) = 0;

  /** Sets what to call if the caller disconnects before respond() is called. */
  virtual void onDisconnect(std::function<void()> aCallback) = 0;

  /** The caller's IP address without port, for fairness between callers. */
  virtual std::string callerAddress() const = 0;
};

using ResponderPtr = std::shared_ptr<Responder>;

} // namespace masticwall::http
