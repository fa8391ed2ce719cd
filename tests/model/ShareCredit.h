#pragma once

#include "VirtualTime.h"
#include <algorithm>

namespace masticwall::model {

/** One VM's credit at a rate that may change; at least one request is saved. */
class ShareCredit
{
public:
  ShareCredit(Instant aNow, double aPerSecond, double aCredit)
    : mAt(aNow)
    , mPerSecond(aPerSecond)
    , mCredit(aCredit)
  {
  }

  void setRate(double aPerSecond, Instant aNow)
  {
    refill(aNow);
    mPerSecond = aPerSecond;
  }

  bool tryTake(Instant aNow)
  {
    refill(aNow);
    if (mCredit < 1.0) {
      return false;
    }
    mCredit -= 1.0;
    return true;
  }

private:
  void refill(Instant aNow)
  {
    constexpr double kSavedSeconds = 0.25;
    const auto elapsed = std::chrono::duration<double>(aNow - mAt).count();
    const auto most = std::max(1.0, kSavedSeconds * mPerSecond);
    mCredit = std::min(most, mCredit + elapsed * mPerSecond);
    mAt = aNow;
  }

  Instant mAt;
  double mPerSecond;
  double mCredit;
};

} // namespace masticwall::model
