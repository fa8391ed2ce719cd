#pragma once

#include <core/Time.h>
#include <functional>
#include <queue>
#include <vector>

namespace masticwall::model {

/** Runs tasks in the order of their virtual times. Not thread-safe. */
class VirtualTime
{
public:
  Instant now() const { return mNow; }

  void after(Duration aDelay, std::function<void()> aTask)
  {
    mTasks.push({ mNow + aDelay, mNextSequence++, std::move(aTask) });
  }

  void runUntil(Instant aEnd)
  {
    while (!mTasks.empty() && mTasks.top().at < aEnd) {
      const auto task = mTasks.top();
      mTasks.pop();
      mNow = task.at;
      task.run();
    }
    mNow = aEnd;
  }

private:
  struct Task
  {
    Instant at;
    std::uint64_t sequence; ///< tasks of the same time run in the order of after()
    std::function<void()> run;

    bool operator<(const Task& aOther) const
    {
      return std::tie(aOther.at, aOther.sequence) < std::tie(at, sequence);
    }
  };

  Instant mNow{ std::chrono::hours(1) };
  std::uint64_t mNextSequence = 0;
  std::priority_queue<Task> mTasks;
};

/** A number of seconds as a duration. */
inline Duration
seconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace masticwall::model
