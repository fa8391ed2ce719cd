#pragma once

#include <algorithm>
#include <core/Time.h>

namespace masticwall {

/** A token bucket: refills at a constant rate, up to the burst. Not thread-safe. */
class TokenBucket
{
public:
  /** A full bucket; `aPerSecond` in tokens per second, `aBurst` in tokens. */
  TokenBucket(double aPerSecond, double aBurst)
    : mPerSecond(aPerSecond)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  /** Changes the rate and burst; keeps the tokens, up to the new burst. */
  void configure(double aPerSecond, double aBurst)
  {
    mPerSecond = aPerSecond;
    mBurst = aBurst;
    mTokens = std::min(mTokens, aBurst);
  }

  /** Removes `aAmount` tokens if at least `aReserve` remain; else returns false. */
  bool take(double aAmount, Instant aNow, double aReserve = 0.0)
  {
    refill(aNow);
    if (mTokens - aAmount < aReserve) {
      return false;
    }
    mTokens -= aAmount;
    return true;
  }

  /** Adds `aAmount` tokens, up to the burst. */
  void put(double aAmount) { mTokens = std::min(mBurst, mTokens + aAmount); }

private:
  void refill(Instant aNow)
  {
    if (mRefilledAt != Instant{} && aNow > mRefilledAt) {
      put(std::chrono::duration<double>(aNow - mRefilledAt).count() * mPerSecond);
    }
    mRefilledAt = aNow;
  }

  double mPerSecond;
  double mBurst;
  double mTokens;
  Instant mRefilledAt;
};

} // namespace masticwall
