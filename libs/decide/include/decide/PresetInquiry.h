#pragma once

#include <core/Time.h>
#include <cstddef>
#include <decide/InquiryStep.h>

namespace masticwall {

/**
 * Whether a call with a key that this VM doesn't know waits until another VM was asked
 * for a newer preset, which may have the key.
 *
 * The load that this answers: a version that reaches some VMs later than others, whose
 * new keys are used at once, among many calls with keys that nobody has. One inquiry is
 * made at a time and few in a second; a bounded number of calls wait for its end, all
 * others are refused at once. Not thread-safe.
 */
class PresetInquiry
{
public:
  /** A call that waits longer is judged by what is known then. */
  static constexpr Duration kMaxWait = std::chrono::milliseconds(250);

  /** Must be called for a call with an unknown key, which has not waited yet. */
  InquiryStep onUnknownKey(Instant aNow);

  /** A waiting call has gone. */
  void onCallGone() { --mWaiting; }

  /** The inquiry has ended, or taken too long: no call waits any more. */
  void onEnd()
  {
    mWaiting = 0;
    mIsInProgress = false;
  }

private:
  static constexpr Duration kPeriod = std::chrono::milliseconds(250);
  static constexpr std::size_t kMaxWaiting = 32;

  Instant mStartedAt; ///< Instant{}: none yet
  std::size_t mWaiting = 0;
  bool mIsInProgress = false;
};

} // namespace masticwall
