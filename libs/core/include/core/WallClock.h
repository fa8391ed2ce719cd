#pragma once

#include <chrono>
#include <cstdint>

namespace masticwall {

/**
 * The wall clock, in milliseconds since the Unix epoch. For timestamps that other VMs
 * read; use Instant within a process.
 */
inline std::int64_t
wallClockMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace masticwall
