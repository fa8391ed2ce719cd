#pragma once

#include "ControlTables.h"
#include <functional>
#include <runtime/TimerService.h>
#include <service/VmListClient.h>

namespace masticwall {

/** Polls the platform's VM list and updates the membership table. Lives on one thread. */
class VmListPoller
{
public:
  /** `aOnChange` is called, on this thread, after each change of the list. */
  VmListPoller(TimerService& aTimers,
               ControlTables& aTables,
               std::function<void()> aOnChange);

private:
  void fetch();
  void onList(const Result<QByteArray>& aText);
  void updateReachable(bool aIsReachable);

  TimerService& mTimers;
  ControlTables& mTables;
  std::function<void()> mOnChange;
  VmListClient mClient;
  bool mIsReachable = true;
  TimerHandle mPollTimer;
};

} // namespace masticwall
