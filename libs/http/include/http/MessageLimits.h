#pragma once

#include <cstddef>
#include <cstdint>

namespace masticwall::http {

/** Limits of one message. */
struct MessageLimits
{
  std::uint32_t maxHeaderBytes = 16 * 1024;
  std::uint64_t maxBodyBytes = 1024 * 1024;
};

} // namespace masticwall::http
