#pragma once

#include <core/Digest.h>
#include <string>

namespace masticwall {

/** What one reporter, a process, has counted for a request. Both counts only rise. */
struct SuspectCount
{
  Digest request;
  std::string reporter;
  int crashes = 0; ///< of upstreams, while they ran the request
  int cleared = 0; ///< of those, known not to be caused by the request, or expired
};

} // namespace masticwall
