#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace masticwall {

/**
 * Names one claim for good: the VM, the incarnation of its entry process, and a number
 * that the incarnation uses once.
 */
struct ClaimId
{
  std::string vm;
  std::uint64_t incarnation = 0;
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
