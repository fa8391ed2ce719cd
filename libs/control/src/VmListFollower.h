#pragma once

#include "ControlTables.h"
#include <functional>
#include <runtime/TimerService.h>
#include <service/VmListClient.h>

namespace masticwall {

/** Follows the platform's VM list. Lives on one thread. */
class VmListFollower
{
public:
  /** `aOnChange` is called, on this thread, after each change of the list. */
  VmListFollower(TimerService& aTimers,
                 ControlTables& aTables,
                 std::function<void()> aOnChange);

private:
  void fetch();
  void onList(const Result<QByteArray>& aText);
  void noteReachable(bool aIsReachable);

  TimerService& mTimers;
  ControlTables& mTables;
  std::function<void()> mOnChange;
  VmListClient mClient;
  bool mIsReachable = true;
  TimerHandle mNext;
};

} // namespace masticwall
