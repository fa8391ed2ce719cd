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
  /** `aIsHead`: the request was HEAD, so that no body follows. */
  ResponseParser(const MessageLimits& aLimits, bool aIsHead);
  ~ResponseParser();
  ResponseParser(ResponseParser&&) noexcept;
  ResponseParser& operator=(ResponseParser&&) noexcept;

  /**
   * Takes what it can from the front of `aBytes` and removes it. The response once it is
   * whole, nothing while more is needed, or an HttpError. Interim responses (1xx) are
   * passed over. A response without a length is refused as HttpError::Unframed, because
   * a cut one could not be told from a whole one.
   */
  Result<std::optional<Response>> feed(QByteArray& aBytes);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall::http
