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
  std::string instance;     ///< changes when the upstream starts anew
  std::string dataCentre{}; ///< empty: not known
  int slots = 0;            ///< calls it runs at a time; 0: as its service states
  bool isCold = false;      ///< it says that it is slow, having just started

  auto operator<=>(const UpstreamAddress&) const = default;

  /** The same start of the same upstream, whatever else is said of it. */
  bool isSameStart(const UpstreamAddress& aOther) const
  {
    return name == aOther.name && instance == aOther.instance && host == aOther.host &&
           port == aOther.port && service == aOther.service;
  }
};

} // namespace masticwall
