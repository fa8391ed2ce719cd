#pragma once

#include <core/Result.h>
#include <cstdint>
#include <http/HttpError.h>

namespace masticwall::http {

/**
 * The status code of a final response: 200 to 599. RFC 9110 (15) leaves no others, and an
 * interim one (1xx) has no length and no body, so that what follows it would be taken for
 * a response of its own. Thread-safe.
 */
class Status
{
public:
  /** A constant, also without being named; one that is no status of a final response does
   * not compile. */
  consteval Status(int aCode)
    : mCode(aCode)
  {
    if (!isFinal(aCode)) {
      throw HttpError::BadStatus;
    }
  }

  /** Fails with HttpError::BadStatus if no final response has this status. */
  static Result<Status> fromCode(std::int64_t aCode)
  {
    if (!isFinal(aCode)) {
      return HttpError::BadStatus;
    }
    return Status(static_cast<int>(aCode), Checked{});
  }

  constexpr operator int() const { return mCode; }

private:
  struct Checked
  {};

  constexpr Status(int aCode, Checked /*aChecked*/)
    : mCode(aCode)
  {
  }

  static constexpr bool isFinal(std::int64_t aCode)
  {
    return aCode >= 200 && aCode <= 599;
  }

  int mCode;
};

} // namespace masticwall::http
