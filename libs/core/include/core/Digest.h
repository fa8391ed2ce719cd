#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>

namespace masticwall {

/**
 * 128 bits of a cryptographic hash. Identifies an idempotency key or a request, so that
 * the original need not be stored.
 */
struct Digest
{
  std::array<std::uint8_t, 16> bytes{};

  auto operator<=>(const Digest&) const = default;
};

} // namespace masticwall

template<>
struct std::hash<masticwall::Digest>
{
  std::size_t operator()(const masticwall::Digest& aDigest) const noexcept
  {
    // The leading bytes suffice: those of a cryptographic hash are uniformly distributed.
    std::size_t n = 0;
    std::memcpy(&n, aDigest.bytes.data(), sizeof n);
    return n;
  }
};
