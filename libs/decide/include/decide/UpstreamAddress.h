#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace masticwall {

/** Where an upstream is reached, and which start of it this is. */
struct UpstreamAddress
{
  std::string name;
  std::string service;
  std::string region;
  std::string host; ///< an IP number
  std::uint16_t port = 0;
  std::string instance; ///< changes when the upstream starts anew

  auto operator<=>(const UpstreamAddress&) const = default;
};

} // namespace masticwall
