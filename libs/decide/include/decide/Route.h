#pragma once

#include <core/Rank.h>
#include <core/Time.h>
#include <decide/AllowedRegions.h>
#include <decide/WeightedService.h>
#include <string>
#include <vector>

namespace masticwall {

/** Maps calls by host, method and path prefix to a service. */
struct Route
{
  std::string method; ///< empty: any
  std::string path;   ///< path prefix; matches whole segments only
  std::string service;
  Rank rank = Rank::Standard;
  bool idempotent = true; ///< false: calls are orders, which run at most once
  Duration deadline{ 1s };
  std::string name{};
  std::string host{};                   ///< empty: any
  std::vector<WeightedService> split{}; ///< if not empty, replaces `service`
  bool requiresClaim = true; ///< orders need an idempotency key, claimed before they run
  int attempts = 3;          ///< max attempts of one call, with the first
  Duration target{ 0 };      ///< max latency that is wanted, from arrival; 0: none
  bool isPublic = false;     ///< calls need no tenant's key
  AllowedRegions allowedRegions{}; ///< of upstreams that may run the calls
};

} // namespace masticwall
