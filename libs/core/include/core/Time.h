#pragma once

#include <chrono>

namespace masticwall {

using Duration = std::chrono::nanoseconds;

/** A point in monotonic time, meaningful within one process only. */
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/** `aDuration` in whole milliseconds, truncated. */
constexpr std::int64_t
toMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

} // namespace masticwall
