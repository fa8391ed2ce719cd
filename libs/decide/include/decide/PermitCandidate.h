#pragma once

#include <decide/RequestLimit.h>
#include <decide/UpstreamAddress.h>

namespace masticwall {

/** An upstream to which a call should be sent, if a permit is granted. */
struct PermitCandidate
{
  UpstreamAddress address;
  RequestLimit limit;
  /** Another upstream could take the call without a permit, and has a slot free. */
  bool hasAlternative = false;
  /** The limit is the one of a warm-up, beyond which nothing may be issued. */
  bool isCold = false;
};

} // namespace masticwall
