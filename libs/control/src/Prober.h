#pragma once

#include "ControlTables.h"
#include <decide/ProbePlan.h>
#include <functional>
#include <http/BackPool.h>
#include <runtime/TimerService.h>

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
  void probe(const Vm& aVm);

  TimerService& mTimers;
  ControlTables& mTables;
  OnLeaving mOnLeaving;
  http::BackPool mPool;
  ProbePlan mPlan;
  TimerSubscription mTick;
};

} // namespace masticwall
