#pragma once

#include <QTimer>
#include <core/Time.h>
#include <map>
#include <runtime/TimerSubscription.h>

namespace masticwall {

/**
 * Runs callbacks at given times on the thread that made it, which must run a Qt event
 * loop. One Qt timer serves all subscriptions. Not thread-safe.
 */
class TimerService
{
public:
  using Callback = TimerSubscription::Callback;

  TimerService();

  /** Runs `aCallback` once at `aDue`, or as soon as possible if that has passed. */
  [[nodiscard]] TimerSubscription subscribe(Instant aDue, Callback aCallback);

  /** Runs `aCallback` once, `aDelay` from now. */
  [[nodiscard]] TimerSubscription subscribeIn(Duration aDelay, Callback aCallback)
  {
    return subscribe(now() + aDelay, std::move(aCallback));
  }

  /** Runs `aCallback` every `aPeriod` until the subscription is cancelled. */
  [[nodiscard]] TimerSubscription subscribeEvery(Duration aPeriod, Callback aCallback);

  Instant now() const { return std::chrono::steady_clock::now(); }

private:
  struct Entry
  {
    std::shared_ptr<Callback> callback;
    Duration period{ 0 }; ///< 0: once
  };

  TimerSubscription add(Instant aDue, Duration aPeriod, Callback aCallback);
  void runDue();
  void arm();

  QTimer mTimer;
  std::multimap<Instant, Entry> mEntries;
};

} // namespace masticwall
