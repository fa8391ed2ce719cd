#pragma once

#include <decide/LoadReport.h>
#include <decide/UpstreamAddress.h>

namespace masticwall {

/** A chosen upstream, with the load figures behind the choice. */
struct UpstreamChoice
{
  UpstreamAddress address;
  LoadReport load;        ///< last report of the upstream
  int inFlight = 0;       ///< calls from this process, including the new one
  bool hasPermit = false; ///< taken for this call, as the upstream has a request limit
};

} // namespace masticwall
