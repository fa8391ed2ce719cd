#pragma once

#include "LoadRun.h"
#include <core/Rank.h>
#include <map>
#include <string>

namespace masticwall::bench {

/** What one rank got in one run. Shares are of the rank's calls, times in milliseconds.
 */
struct RankReport
{
  std::size_t calls = 0;
  double answered = 0.0; ///< share
  double inTarget = 0.0; ///< share answered with at most the target added
  double refused = 0.0;  ///< share ended as not run
  double addedP50 = 0.0; ///< latency less service time
  double addedP99 = 0.0;
  double addedP999 = 0.0;
  double totalP99 = 0.0;
  double refusalP99 = 0.0; ///< latency of refusals for overload

  std::map<std::string, int> refusals; ///< by reason

  static RankReport of(const std::vector<test::LoadResult>& aResults,
                       const std::string& aKind,
                       Duration aTarget);
};

/** The service time that a call asked for. */
Duration
serviceOf(const http::Request& aRequest);

} // namespace masticwall::bench
