#pragma once

#include <core/Time.h>
#include <string>

namespace masticwall {

/** Bytes of a call, both ways, for which the preferences of Locality are stated. */
inline constexpr double kLocalityBytes = 2000.0;

/**
 * Where a process stands, and by how much it prefers what is near: the extra latency of a
 * farther upstream together with what the bytes of a call cost, as a time.
 */
struct Locality
{
  std::string region;
  std::string dataCentre;
  Duration otherDataCentre{ 120ms };
  Duration otherRegion{ 400ms };
};

} // namespace masticwall
