#pragma once

#include <algorithm>
#include <core/Time.h>

namespace masticwall {

/** A budget that refills at a steady rate up to a burst. Not thread-safe. */
class TokenBucket
{
public:
  TokenBucket(double aPerSecond, double aBurst)
    : mPerSecond(aPerSecond)
    , mBurst(aBurst)
    , mLevel(aBurst)
  {
  }

  /** Changes the rate and burst; what is in the bucket stays, up to the new burst. */
  void configure(double aPerSecond, double aBurst)
  {
    mPerSecond = aPerSecond;
    mBurst = aBurst;
    mLevel = std::min(mLevel, aBurst);
  }

  /** Takes `aAmount` if that leaves at least `aReserve`; false if it does not. */
  bool take(double aAmount, Instant aNow, double aReserve = 0.0)
  {
    refill(aNow);
    if (mLevel - aAmount < aReserve) {
      return false;
    }
    mLevel -= aAmount;
    return true;
  }

  /** Adds `aAmount`, as far as the burst allows. */
  void put(double aAmount) { mLevel = std::min(mBurst, mLevel + aAmount); }

private:
  void refill(Instant aNow)
  {
    if (mLast != Instant{} && aNow > mLast) {
      put(std::chrono::duration<double>(aNow - mLast).count() * mPerSecond);
    }
    mLast = aNow;
  }

  double mPerSecond;
  double mBurst;
  double mLevel;
  Instant mLast;
};

} // namespace masticwall
