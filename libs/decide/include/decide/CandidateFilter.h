#pragma once

#include <algorithm>
#include <decide/UpstreamAddress.h>
#include <span>
#include <string>

namespace masticwall {

/** Which upstreams a call may be sent to, whatever state they are in. Views only: what
 * they refer to must outlive the filter. */
struct CandidateFilter
{
  int maxInFlight = 1;                     ///< calls from this process to one upstream
  std::span<const std::string> excluded{}; ///< names, as already tried for this call
  std::span<const std::string> allowedRegions{}; ///< empty: any

  bool allowsRegion(const std::string& aRegion) const
  {
    return allowedRegions.empty() || contains(allowedRegions, aRegion);
  }

  bool allows(const UpstreamAddress& aUpstream) const
  {
    return allowsRegion(aUpstream.region) && !contains(excluded, aUpstream.name);
  }

private:
  static bool contains(std::span<const std::string> aNames, const std::string& aName)
  {
    return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
  }
};

} // namespace masticwall
