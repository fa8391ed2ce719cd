#pragma once

#include <cstdint>
#include <string>

namespace masticwall {

/** What every daemon is told of its place. */
struct CommonSettings
{
  std::string vm;                       ///< this VM's name on the platform's list
  std::string region;                   ///< this VM's region
  std::string dataCentre;               ///< this VM's data centre
  std::string host = "127.0.0.1";       ///< this VM's IP number
  std::int64_t orderWindowMs = 600'000; ///< how long an order's key is remembered
  std::string instance;                 ///< changes with each start of the VM
};

} // namespace masticwall
