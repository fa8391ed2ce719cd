#pragma once

#include <core/Time.h>
#include <decide/ProbeBudget.h>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticwall {

/**
 * Schedules the health probes that this VM sends to upstreams. Every VM uses a fixed
 * share, 1 / ProbeBudget::maxVms, of each upstream's probe budget; so the budget holds
 * even if the VMs disagree on which of them are running. Not thread-safe.
 */
class ProbeSchedule
{
public:
  /**
   * `aPhase` (0 to 1) delays the first probes by that fraction of the period. It should
   * differ between VMs, so that their probes are spread over the period.
   */
  explicit ProbeSchedule(double aPhase)
    : mPhase(aPhase)
  {
  }

  /** Sets the upstreams to probe; those already scheduled keep their next probe time. */
  void setUpstreams(const std::vector<std::string>& aUpstreams,
                    const ProbeBudget& aBudget,
                    Instant aNow);

  /** Returns the upstreams due for a probe; sets their next one a period after `aNow`. */
  std::vector<std::string> takeDue(const ProbeBudget& aBudget, Instant aNow);

private:
  /** Time between two probes of an upstream by this VM; 0 if the budget allows none. */
  static Duration periodOf(const ProbeBudget& aBudget);

  double mPhase;
  std::unordered_map<std::string, Instant> mDueTimes;      ///< next probe, by upstream
  std::multimap<Instant, std::string> mUpstreamsByDueTime; ///< the same, by time
};

} // namespace masticwall
