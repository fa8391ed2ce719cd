#pragma once

#include <core/Time.h>
#include <decide/MeasuringBudget.h>
#include <map>
#include <string>
#include <unordered_map>
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

  /** Takes the list of upstreams in force; those that stay keep their times. */
  void setUpstreams(const std::vector<std::string>& aUpstreams,
                    const MeasuringBudget& aBudget,
                    Instant aNow);

  /** The upstreams that are due; each counts as probed at `aNow`. */
  std::vector<std::string> takeDue(const MeasuringBudget& aBudget, Instant aNow);

private:
  static Duration periodOf(const MeasuringBudget& aBudget);

  double mPhase;
  std::unordered_map<std::string, Instant> mDue;
  std::multimap<Instant, std::string> mQueue; ///< the same, by time
};

} // namespace masticwall
