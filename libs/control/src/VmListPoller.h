#pragma once

#include "ControlTables.h"
#include <functional>
#include <runtime/TimerService.h>
#include <service/VmListClient.h>

namespace masticwall {

/**
 * Fetches the platform's VM list, 1 s after the previous response or failure, and updates
 * the membership table. After a failure the table stays as it is. Lives on one thread.
 */
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
