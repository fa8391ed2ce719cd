#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace masticwall {

/**
 * Globally unique identifier of a claim on an order's idempotency key, never reused: the
 * claiming VM, the incarnation of its entry process (the one that serves callers), and a
 * sequence number within the incarnation.
 */
struct ClaimId
{
  std::string vm;
  std::uint64_t incarnation = 0; ///< random, new at each start of the process
  std::uint64_t sequence = 0;

  auto operator<=>(const ClaimId&) const = default;
};

} // namespace masticwall

template<>
struct std::hash<masticwall::ClaimId>
{
  std::size_t operator()(const masticwall::ClaimId& aId) const noexcept
  {
    return std::hash<std::string>()(aId.vm) ^ (aId.incarnation * 31 + aId.sequence);
  }
};
