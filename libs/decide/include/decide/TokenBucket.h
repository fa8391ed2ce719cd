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

  /**
   * Consumes `aAmount` tokens if at least `aReserve` remain after that; otherwise
   * consumes none and returns false.
   */
  bool tryConsume(double aAmount, Instant aNow, double aReserve = 0.0)
  {
    refill(aNow);
    if (mTokens - aAmount < aReserve) {
      return false;
    }
    mTokens -= aAmount;
    return true;
  }

  /** Adds `aAmount` tokens, up to the burst. */
  void add(double aAmount) { mTokens = std::min(mBurst, mTokens + aAmount); }

private:
  void refill(Instant aNow)
  {
    if (mRefilledAt != Instant{} && aNow > mRefilledAt) {
      add(std::chrono::duration<double>(aNow - mRefilledAt).count() * mPerSecond);
    }
    mRefilledAt = aNow;
  }

  double mPerSecond;   ///< tokens per second
  double mBurst;       ///< capacity, in tokens
  double mTokens;      ///< available now
  Instant mRefilledAt; ///< last refill; Instant{} before the first tryConsume()
};

} // namespace masticwall
