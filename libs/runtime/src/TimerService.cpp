#include <runtime/TimerService.h>

namespace masticwall {

TimerService::TimerService()
{
  mTimer.setSingleShot(true);
  mTimer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { runDue(); });
}

TimerHandle
TimerService::scheduleAt(Instant aDue, Callback aCallback)
{
  return add(aDue, Duration{ 0 }, std::move(aCallback));
}

TimerHandle
TimerService::scheduleEvery(Duration aPeriod, Callback aCallback)
{
  return add(now() + aPeriod, aPeriod, std::move(aCallback));
}

TimerHandle
TimerService::add(Instant aDue, Duration aPeriod, Callback aCallback)
{
  auto shared = std::make_shared<Callback>(std::move(aCallback));
  const auto it = mScheduled.emplace(aDue, ScheduledCallback{ shared, aPeriod });
  if (it == mScheduled.begin()) {
    arm();
  }
  return TimerHandle(std::move(shared));
}

void
TimerService::runDue()
{
  const auto startedAt = now();
  while (!mScheduled.empty() && mScheduled.begin()->first <= startedAt) {
    const auto due = mScheduled.begin()->second;
    mScheduled.erase(mScheduled.begin());
    if (*due.callback == nullptr) {
      continue;
    }
    // Copied, because the callback may cancel itself and so clear the shared function.
    const auto callback = *due.callback;
    if (due.period > Duration{ 0 }) {
      mScheduled.emplace(startedAt + due.period, due);
    } else {
      *due.callback = nullptr;
    }
    callback();
  }
  arm();
}

void
TimerService::arm()
{
  // Drop cancelled callbacks, so that the thread does not wake up for them.
  while (!mScheduled.empty() && *mScheduled.begin()->second.callback == nullptr) {
    mScheduled.erase(mScheduled.begin());
  }
  if (mScheduled.empty()) {
    mTimer.stop();
    return;
  }
  const auto wait =
    std::chrono::ceil<std::chrono::milliseconds>(mScheduled.begin()->first - now());
  mTimer.start(std::max(wait, std::chrono::milliseconds(0)));
}

} // namespace masticwall
