#pragma once

#include <cstdint>

namespace masticwall {

// Sizes in bytes.
inline constexpr std::int64_t kKiB = 1024;
inline constexpr std::int64_t kMiB = 1024 * kKiB;

} // namespace masticwall
