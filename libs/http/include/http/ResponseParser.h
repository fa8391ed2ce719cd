#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <http/MessageLimits.h>
#include <http/Response.h>
#include <memory>
#include <optional>

namespace masticwall::http {

/** Reads one response from bytes as they come. Not thread-safe. */
class ResponseParser
{
public:
  /**
   * `aIsHead`: the request was HEAD, so that no body follows. `aMayBeUnframed`: a
   * response may have no length and end with its connection; else it is refused as
   * HttpError::Unframed, because a cut one could not be told from a whole one.
   */
  ResponseParser(const MessageLimits& aLimits, bool aIsHead, bool aMayBeUnframed);
  ~ResponseParser();
  ResponseParser(ResponseParser&&) noexcept;
  ResponseParser& operator=(ResponseParser&&) noexcept;

  /**
   * Takes what it can from the front of `aBytes` and removes it. The response once it is
   * whole, nothing while more is needed, or an HttpError. Interim responses (1xx) are
   * passed over.
   */
  Result<std::optional<Response>> feed(QByteArray& aBytes);

  /**
   * The connection ended in order. The response if it has no length and so is whole now;
   * HttpError::Incomplete otherwise.
   */
  Result<Response> finish();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall::http
