#pragma once

#include <core/Time.h>
#include <decide/HedgeVerdict.h>

namespace masticwall {

/**
 * What is known of a call whose first request is late, apart from budgets.
 *
 * The load that this answers: a few upstreams that are slow for a moment, while others
 * have slots free. Under a flood a second request would take a slot that another call
 * needs, so none is sent then.
 */
struct HedgeRequest
{
  int attempts = 0;           ///< sent so far
  int maxAttempts = 1;        ///< of the route
  Duration timeLeft{ 0 };     ///< until the deadline
  Duration expectedTime{ 0 }; ///< for a second response
  bool isSuspect = false;
  bool areCallsWaiting = false; ///< for a slot of the service in this process

  /** HedgeVerdict::Send unless something speaks against a hedge. Room at another upstream
   * and the budgets are still to be checked. */
  HedgeVerdict verdict() const
  {
    if (isSuspect) {
      return HedgeVerdict::Suspect;
    }
    if (attempts >= maxAttempts) {
      return HedgeVerdict::AttemptsUsed;
    }
    if (expectedTime >= timeLeft) {
      return HedgeVerdict::TooLate;
    }
    return areCallsWaiting ? HedgeVerdict::NoRoom : HedgeVerdict::Send;
  }
};

} // namespace masticwall
