#pragma once

#include "ControlTables.h"
#include <decide/ProbeSchedule.h>
#include <functional>
#include <http/UpstreamConnectionPool.h>
#include <runtime/TimerService.h>
#include <unordered_map>

namespace masticwall {

/**
 * Sends health probes to the upstreams of the VM list, within the probe budget of the
 * active preset, to detect upstreams that are leaving. Lives on one thread.
 */
class Prober
{
public:
  /** Called, on this thread, with an upstream whose response says that it is leaving. */
  using LeavingCallback = std::function<void(const Vm&)>;

  Prober(TimerService& aTimers, ControlTables& aTables, LeavingCallback aOnLeaving);

private:
  void probeDue();
  void updateUpstreams(const ProbeBudget& aBudget);
  void probe(const Vm& aVm);

  TimerService& mTimers;
  ControlTables& mTables;
  LeavingCallback mOnLeaving;
  http::UpstreamConnectionPool mPool;
  ProbeSchedule mSchedule;
  std::unordered_map<std::string, Vm> mUpstreams; ///< by name
  std::uint64_t mMembershipRevision = 0;          ///< that `mUpstreams` was made from
  TimerHandle mCheckTimer;
};

} // namespace masticwall
