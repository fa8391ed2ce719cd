#pragma once

#include <core/Bytes.h>
#include <cstddef>
#include <cstdint>

namespace masticwall::http {

/** Size limits of one message. */
struct MessageLimits
{
  std::uint32_t maxHeaderBytes = 16 * kKiB;
  std::uint64_t maxBodyBytes = kMiB;
};

} // namespace masticwall::http
