#pragma once

#include <core/Time.h>
#include <decide/LoadReplyTimes.h>
#include <string>

namespace masticwall {

/**
 * The region and data centre of this process, and the penalties that the estimated
 * latency adds for upstreams elsewhere. A penalty covers the extra network latency and,
 * expressed as time, the cost of the transferred bytes.
 */
struct Locality
{
  std::string region;
  std::string dataCentre;
  Duration otherDataCentrePenalty{ 120ms };
  Duration otherRegionPenalty{ 400ms };
  LoadReplyTimes replyTimes{}; ///< of upstreams in other data centres
};

} // namespace masticwall
