#pragma once

#include <core/Time.h>
#include <decide/MeasuringBudget.h>
#include <map>
#include <string>
#include <vector>

namespace masticwall {

/**
 * Says which upstreams this VM probes when. Every VM takes an equal, fixed share of each
 * upstream's budget, so that the budget holds whatever each VM believes of the others.
 * The VMs' phases differ by `aPhase` (0 to 1), so that together they look often. Not
 * thread-safe.
 */
class ProbePlan
{
public:
  explicit ProbePlan(double aPhase)
    : mPhase(aPhase)
  {
  }

  /** The upstreams, of those listed, that are due; each counts as probed at `aNow`. */
  std::vector<std::string> takeDue(const std::vector<std::string>& aUpstreams,
                                   const MeasuringBudget& aBudget,
                                   Instant aNow);

private:
  double mPhase;
  std::map<std::string, Instant> mNext;
};

} // namespace masticwall
