#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <http/MessageLimits.h>
#include <http/Request.h>
#include <memory>
#include <optional>

namespace masticwall::http {

/** Parses one request incrementally from received bytes. Not thread-safe. */
class RequestParser
{
public:
  /** `aBodies` bounds the bodies of all requests together; null: they are not bounded. */
  explicit RequestParser(const MessageLimits& aLimits,
                         std::shared_ptr<ByteBudget> aBodies = nullptr);
  ~RequestParser();
  RequestParser(RequestParser&&) noexcept;
  RequestParser& operator=(RequestParser&&) noexcept;

  /**
   * Consumes bytes from the front of `aBytes`. Returns the request once it is complete,
   * nothing while more bytes are needed, or an HttpError. HttpError::NoRoom comes before
   * a byte of the body is read, if the request says its length.
   */
  Result<std::optional<Request>> feed(QByteArray& aBytes);

  /** Whether the header is complete and asks for "100 Continue" before the body. */
  bool wantsContinue() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall::http
