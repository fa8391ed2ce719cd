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
  /** The call can do without: no upstream that has a request limit or backs off. */
  bool isOptional = false;
  std::string avoidedDataCentre{}; ///< empty: none

  bool allows(const UpstreamAddress& aUpstream) const
  {
    return allowedRegions.allows(aUpstream.region) &&
           (avoidedDataCentre.empty() || aUpstream.dataCentre != avoidedDataCentre) &&
           std::find(excluded.begin(), excluded.end(), aUpstream.name) == excluded.end();
  }
};

} // namespace masticwall
