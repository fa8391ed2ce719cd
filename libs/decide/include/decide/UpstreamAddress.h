#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace masticwall {

/** The address of an upstream and the properties it is listed with. */
struct UpstreamAddress
{
  std::string name;
  std::string service;
  std::string region;
  std::string host; ///< an IP address
  std::uint16_t port = 0;
  std::string instance;     ///< changes with every restart of the upstream
  std::string dataCentre{}; ///< empty: unknown
  int slots = 0;            ///< calls it runs concurrently; 0: the service's default
  bool isWarmingUp = false; ///< it reports that it is slow after its start

  auto operator<=>(const UpstreamAddress&) const = default;

  /** True for the same instance of the same upstream, even if other fields differ. */
  bool isSameInstance(const UpstreamAddress& aOther) const
  {
    return name == aOther.name && instance == aOther.instance && host == aOther.host &&
           port == aOther.port && service == aOther.service;
  }
};

} // namespace masticwall
