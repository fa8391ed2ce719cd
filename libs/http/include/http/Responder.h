#pragma once

#include <functional>
#include <http/Response.h>
#include <memory>

namespace masticwall::http {

/**
 * The place of one answer in its connection. Answers leave in the order of their
 * requests, whatever order they are given in. Use it on the connection's thread; it may
 * outlive the connection.
 */
class Responder
{
public:
  virtual ~Responder() = default;

  /** Gives the answer, once. Ignored if the caller has gone. */
  virtual void respond(Response aResponse) = 0;

  /** Sets what to call if the caller goes before the answer is given. */
  virtual void onGone(std::function<void()> aCallback) = 0;

  /** The caller's address, for fairness between callers. */
  virtual std::string callerAddress() const = 0;
};

using ResponderPtr = std::shared_ptr<Responder>;

} // namespace masticwall::http
