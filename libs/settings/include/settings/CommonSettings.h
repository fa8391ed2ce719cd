#pragma once

#include <cstdint>
#include <string>

namespace masticwall {

/** The settings that all daemons have. */
struct CommonSettings
{
  std::string vm;                       ///< this VM's name in the platform's VM list
  std::string region;                   ///< this VM's region
  std::string dataCentre;               ///< this VM's data centre
  std::string host = "127.0.0.1";       ///< this VM's IP address, to listen on
  std::int64_t orderWindowMs = 600'000; ///< how long an idempotency key is kept
  std::string instance; ///< this VM's instance id, new at each start of the VM
};

} // namespace masticwall
