#pragma once

#include <string>

namespace masticwall {

/** A VM's request for permits of one tenant, each of which allows one call. */
struct QuotaRequest
{
  std::string tenant;
  int needed = 0;   ///< by calls that wait
  int ahead = 0;    ///< for calls that are expected soon
  int returned = 0; ///< permits that were issued to this VM and not used
};

} // namespace masticwall
