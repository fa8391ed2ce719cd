#pragma once

#include "Fault.h"
#include "TestSystem.h"
#include <list>
#include <random>
#include <runtime/TimerService.h>

namespace masticwall::test {

/** Brings about one random fault after another, and takes each back after a while. */
class FaultDriver
{
public:
  FaultDriver(TestSystem& aSystem, int aVms, std::uint64_t aSeed);

  void start();

  /** Brings about no more faults and takes back all that are in force. */
  void stop();

  int count() const { return mCount; }

private:
  void next();
  void bring(Fault aFault);
  void takeBackLater(Duration aAfter, const std::function<void()>& aTask);
  int draw(int aCount)
  {
    return std::uniform_int_distribution<int>(0, aCount - 1)(mRandom);
  }

  TestSystem& mSystem;
  int mVms;
  std::mt19937_64 mRandom;
  TimerService mTimers;
  TimerHandle mNext;
  std::list<std::pair<TimerHandle, std::function<void()>>> mInForce;
  int mCount = 0;
};

} // namespace masticwall::test
