#pragma once

#include <QTimer>
#include <core/Time.h>
#include <map>
#include <runtime/TimerHandle.h>

namespace masticwall {

/**
 * Schedules callbacks on the thread that created it, which must run a Qt event loop. A
 * callback is cancelled when its TimerHandle is destroyed. One QTimer, with a
 * resolution of 1 ms, serves all callbacks. Not thread-safe.
 */
class TimerService
{
public:
  using Callback = TimerHandle::Callback;

  TimerService();

  /** Runs `aCallback` once at `aDue`, or soon from the event loop if that has passed. */
  [[nodiscard]] TimerHandle scheduleAt(Instant aDue, Callback aCallback);

  /** Runs `aCallback` once, after `aDelay`. */
  [[nodiscard]] TimerHandle scheduleAfter(Duration aDelay, Callback aCallback)
  {
    return scheduleAt(now() + aDelay, std::move(aCallback));
  }

  /**
   * Runs `aCallback` every `aPeriod` until cancelled, first after one period. The next
   * run is due one period after the last one started, so missed runs are skipped.
   */
  [[nodiscard]] TimerHandle scheduleEvery(Duration aPeriod, Callback aCallback);

  Instant now() const { return std::chrono::steady_clock::now(); }

private:
  struct ScheduledCallback
  {
    std::shared_ptr<Callback> callback;
    Duration period{ 0 }; ///< 0 for a one-shot timer
  };

  TimerHandle add(Instant aDue, Duration aPeriod, Callback aCallback);
  void runDue();
  void arm(); ///< (re)starts mTimer for the earliest callback, or stops it

  QTimer mTimer;
  std::multimap<Instant, ScheduledCallback> mScheduled; ///< by due time; may be cancelled
};

} // namespace masticwall
