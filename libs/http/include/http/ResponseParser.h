#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <http/MessageLimits.h>
#include <http/Response.h>
#include <memory>
#include <optional>

namespace masticwall::http {

/**
 * Parses one response incrementally from received bytes, by the rules of RFC 9110 (15)
 * and RFC 9112 (4 to 7), without continued lines; the fields of a trailer are dropped.
 * Not thread-safe.
 */
class ResponseParser
{
public:
  /**
   * `aIsHead`: the request was HEAD, so that no body follows. `aMayBeCloseDelimited`: a
   * response may have no length and end with its connection; otherwise it is rejected as
   * HttpError::Unframed, because a truncated one would look complete.
   */
  ResponseParser(const MessageLimits& aLimits, bool aIsHead, bool aMayBeCloseDelimited);
  ~ResponseParser();
  ResponseParser(ResponseParser&&) noexcept;
  ResponseParser& operator=(ResponseParser&&) noexcept;

  /**
   * Consumes bytes from the front of `aBytes`. Returns the response once it is complete,
   * nothing while more bytes are needed, or an HttpError. Interim responses (1xx) are
   * skipped.
   */
  Result<std::optional<Response>> feed(QByteArray& aBytes);

  /**
   * Call after an orderly close of the connection. Returns the response if it has no
   * length, which makes it complete now; HttpError::Incomplete otherwise.
   */
  Result<Response> finish();

  /** Whether the response's head is complete and its body ends with the connection. */
  bool isCloseDelimited() const;

  /** The memory that the part of the body takes that has been received. */
  std::size_t bodyBytes() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall::http
