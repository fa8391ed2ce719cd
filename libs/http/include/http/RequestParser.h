#pragma once

#include <QByteArray>
#include <core/Result.h>
#include <http/MessageLimits.h>
#include <http/Request.h>
#include <memory>
#include <optional>

namespace masticwall::http {

/** Reads one request from bytes as they come. Not thread-safe. */
class RequestParser
{
public:
  explicit RequestParser(const MessageLimits& aLimits);
  ~RequestParser();
  RequestParser(RequestParser&&) noexcept;
  RequestParser& operator=(RequestParser&&) noexcept;

  /**
   * Takes what it can from the front of `aBytes` and removes it. The request once it is
   * whole, nothing while more is needed, or an HttpError.
   */
  Result<std::optional<Request>> feed(QByteArray& aBytes);

  /** The header is whole and asks for "100 Continue" before the body. */
  bool wantsContinue() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall::http
