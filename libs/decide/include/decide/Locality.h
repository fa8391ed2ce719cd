#pragma once

#include <core/Time.h>
#include <string>

namespace masticwall {

/**
 * Where a process stands, and by how much it prefers what is near: the extra latency of a
 * farther upstream together with what its bytes cost, as a time.
 */
struct Locality
{
  std::string region;
  std::string dataCentre;
  Duration otherDataCentre{ 120ms };
  Duration otherRegion{ 400ms };
};

} // namespace masticwall
