#pragma once

#include <core/Result.h>
#include <core/Time.h>
#include <string_view>

namespace masticwall::http {

/**
 * Longer times count as this one, which is longer than a server runs and still fits the
 * type. A shorter bound would let requests in before the time that the server asked for.
 */
inline constexpr Duration kMaxRetryAfter = std::chrono::hours(24 * 365);

/**
 * Parses the value of a Retry-After field as a decimal number of seconds, which may have
 * a fraction. Fails with HttpError::Malformed for any other text, such as a date, a
 * negative number or "inf".
 */
Result<Duration>
parseRetryAfter(std::string_view aText);

} // namespace masticwall::http
