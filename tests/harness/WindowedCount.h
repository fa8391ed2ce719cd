#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>

namespace masticwall::test {

/** Samples a count that only rises, and keeps its highest rise within a window of time.
 */
class WindowedCount
{
public:
  WindowedCount(std::function<int()> aCount, std::chrono::milliseconds aWindow)
    : mCount(std::move(aCount))
    , mWindow(aWindow)
  {
  }

  void sample()
  {
    const auto now = std::chrono::steady_clock::now();
    const auto count = mCount();
    mSamples.push_back({ now, count });
    while (mSamples.front().at < now - mWindow) {
      mSamples.pop_front();
    }
    mMax = std::max(mMax, count - mSamples.front().count);
  }

  int max() const { return mMax; }

private:
  struct Sample
  {
    std::chrono::steady_clock::time_point at;
    int count = 0;
  };

  std::function<int()> mCount;
  std::chrono::milliseconds mWindow;
  std::deque<Sample> mSamples;
  int mMax = 0;
};

} // namespace masticwall::test
