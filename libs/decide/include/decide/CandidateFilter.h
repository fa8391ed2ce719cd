#pragma once

#include <algorithm>
#include <decide/AllowedRegions.h>
#include <decide/UpstreamAddress.h>
#include <span>
#include <string>

namespace masticwall {

/** Which upstreams a call may be sent to, whatever state they are in. `excluded` is a
 * view of names that must outlive the filter. */
struct CandidateFilter
{
  int maxInFlight = 1;                     ///< calls from this process to one upstream
  std::span<const std::string> excluded{}; ///< names, as already tried for this call
  AllowedRegions allowedRegions{};

  bool allows(const UpstreamAddress& aUpstream) const
  {
    return allowedRegions.allows(aUpstream.region) &&
           std::find(excluded.begin(), excluded.end(), aUpstream.name) == excluded.end();
  }
};

} // namespace masticwall
