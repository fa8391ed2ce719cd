#pragma once

#include <core/Rank.h>
#include <core/Time.h>
#include <string>

namespace masticwall {

/** Maps calls by method and path prefix to a service. */
struct Route
{
  std::string method;
  std::string path; ///< a prefix of the path, ending at a segment boundary
  std::string service;
  Rank rank = Rank::Standard;
  bool idempotent = true; ///< false: an order, claimed before it runs
  Duration deadline{ 1s };
};

} // namespace masticwall
