#pragma once

#include "ControlTables.h"
#include "StreamReader.h"
#include <deque>
#include <map>
#include <messages/ClaimRecord.h>
#include <vector>

namespace masticwall {

/**
 * Appends claims and releases to the claim stream of the log, up to 500 of each in a
 * record, and replays the stream to find the verdict on each claim. After a failed
 * append, its claims and releases are appended again with the same ids, because the
 * append may have taken effect; of a claim that is replayed twice, the first copy counts.
 * Lives on one thread, which must run a Qt event loop.
 */
class ClaimLog
{
public:
  using VerdictCallback = std::function<void(const ClaimVerdict&)>;

  explicit ClaimLog(ControlTables& aTables);

  /**
   * Appends a claim. `aDone` is called on this thread once the verdict is known: before
   * claim() returns if it is known already, and never if the claim is released first or
   * dropped because no append could be sent for 60 s.
   */
  void claim(const Claim& aClaim, VerdictCallback aDone);

  /**
   * Releases the key of a claim whose order was not run and never will be. While the
   * verdict on the claim is not known, the release is delayed until it is; a claim that
   * was not sent yet is just forgotten.
   */
  void release(const ClaimId& aId);

private:
  /** A claim that has no verdict yet. */
  struct Pending
  {
    Claim claim;
    std::vector<VerdictCallback> callbacks;
    Instant createdAt;
    bool isAppending = false;
    bool wasAppendSent = false; ///< the append may have taken effect, even if it failed
    bool isReleased = false;
  };

  void onRecord(const LogRecord& aRecord);
  void onHead();
  void onGap();
  void deliver(const ClaimVerdict& aVerdict);
  void appendNext();
  ClaimRecord takeNextBatch();
  void onAppended(const ClaimRecord& aRecord, const Result<std::uint64_t>& aResult);
  void dropExpired();
  void updateUnsettledCount();

  ControlTables& mTables;
  TimerService mTimers;
  LogClient mLog;
  StreamReader mReader;
  std::map<ClaimId, Pending> mPending;
  std::deque<ClaimId> mToAppend;
  std::deque<ClaimId> mToRelease;
  int mAppendsInFlight = 0;
  /** When the claims missed in the last gap have expired; Instant{} before any gap. */
  Instant mMissedClaimsExpireAt;
  TimerHandle mRetryTimer;
  TimerHandle mExpiryTimer;
};

} // namespace masticwall
