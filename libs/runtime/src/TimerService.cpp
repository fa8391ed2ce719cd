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
  const auto it = mEntries.emplace(aDue, Entry{ shared, aPeriod });
  if (it == mEntries.begin()) {
    arm();
  }
  return TimerHandle(std::move(shared));
}

void
TimerService::runDue()
{
  const auto time = now();
  while (!mEntries.empty() && mEntries.begin()->first <= time) {
    const auto entry = mEntries.begin()->second;
    mEntries.erase(mEntries.begin());
    if (*entry.callback == nullptr) {
      continue;
    }
    // Copied, because the callback may cancel itself and so clear the shared function.
    const auto callback = *entry.callback;
    if (entry.period > Duration{ 0 }) {
      mEntries.emplace(time + entry.period, entry);
    } else {
      *entry.callback = nullptr;
    }
    callback();
  }
  arm();
}

void
TimerService::arm()
{
  // Drop cancelled entries, so that the thread does not wake up for them.
  while (!mEntries.empty() && *mEntries.begin()->second.callback == nullptr) {
    mEntries.erase(mEntries.begin());
  }
  if (mEntries.empty()) {
    mTimer.stop();
    return;
  }
  const auto wait =
    std::chrono::ceil<std::chrono::milliseconds>(mEntries.begin()->first - now());
  mTimer.start(std::max(wait, std::chrono::milliseconds(0)));
}

} // namespace masticwall
