#pragma once

#include <core/Rank.h>
#include <core/Time.h>
#include <decide/SplitPart.h>
#include <string>
#include <vector>

namespace masticwall {

/** Maps calls by host, method and path prefix to a service. */
struct Route
{
  std::string method; ///< empty: any
  std::string path;   ///< a prefix of the path, ending at a segment boundary
  std::string service;
  Rank rank = Rank::Standard;
  bool idempotent = true; ///< false: an order, run at most once
  Duration deadline{ 1s };
  std::string name{};
  std::string host{};             ///< empty: any
  std::vector<SplitPart> split{}; ///< if not empty, the services instead of `service`
  bool claimed = true;  ///< an order carries a key, which is claimed before it runs
  int attempts = 3;     ///< upstreams that one call may be sent to
  Duration target{ 0 }; ///< an answer within it has its full worth; 0: not stated
};

} // namespace masticwall
