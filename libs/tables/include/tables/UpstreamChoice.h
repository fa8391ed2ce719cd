#pragma once

#include <decide/LoadReport.h>
#include <decide/UpstreamAddress.h>

namespace masticwall {

/** An upstream that was chosen, and what the choice was made on. */
struct UpstreamChoice
{
  UpstreamAddress address;
  LoadReport load;  ///< its last report
  int inFlight = 0; ///< calls from this process, with the new one
};

} // namespace masticwall
