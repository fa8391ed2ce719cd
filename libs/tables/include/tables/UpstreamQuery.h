#pragma once

#include <core/Rank.h>
#include <cstddef>
#include <decide/AllowedRegions.h>
#include <decide/LatencyLimit.h>
#include <string>
#include <vector>

namespace masticwall {

/** The requirements of a call for which an upstream is to be chosen. */
struct UpstreamQuery
{
  std::string service;
  Rank rank = Rank::Standard;
  std::size_t bytes = 0; ///< expected traffic between regions, if sent to another one
  std::vector<std::string> excluded; ///< names of upstreams not to choose
  LatencyLimit limit; ///< of the estimated latency; for the policy EstimatedLatency
  AllowedRegions allowedRegions{}; ///< of upstreams
  bool isOptional = false;         ///< see CandidateFilter
  std::string avoidedDataCentre{}; ///< empty: none
};

} // namespace masticwall
