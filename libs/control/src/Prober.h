#pragma once

#include "ControlTables.h"
#include <decide/ProbeSchedule.h>
#include <functional>
#include <http/BackPool.h>
#include <runtime/TimerService.h>
#include <unordered_map>

namespace masticwall {

/**
 * Asks upstreams for their health within the measuring budget, to learn that they leave.
 * Lives on one thread.
 */
class Prober
{
public:
  /** Told, on this thread, of an upstream's instance that leaves. */
  using OnLeaving = std::function<void(const Vm&)>;

  Prober(TimerService& aTimers, ControlTables& aTables, OnLeaving aOnLeaving);

private:
  void probeDue();
  void takeList(const ProbeBudget& aBudget);
  void probe(const Vm& aVm);

  TimerService& mTimers;
  ControlTables& mTables;
  OnLeaving mOnLeaving;
  http::BackPool mPool;
  ProbeSchedule mPlan;
  std::unordered_map<std::string, Vm> mUpstreams; ///< by name
  std::uint64_t mRevision = 0;                    ///< of the list in `mUpstreams`
  TimerHandle mTick;
};

} // namespace masticwall
