#pragma once

#include <cstdint>

namespace masticwall {

inline constexpr std::int64_t kKiB = 1024;
inline constexpr std::int64_t kMiB = 1024 * kKiB;

} // namespace masticwall
