#pragma once

#include "ControlTables.h"
#include "StreamReader.h"
#include <deque>
#include <map>
#include <messages/ClaimRecord.h>
#include <vector>

namespace masticwall {

/**
 * Appends claims and releases to the log, in batches of one record each, and replays the
 * log to find the verdict on each claim. If the reply to an append is lost, its claims
 * are appended again with the same ids; a claim that is replayed twice counts once. Lives
 * on one thread, which must run a Qt event loop.
 */
class ClaimLog
{
public:
  using VerdictCallback = std::function<void(const ClaimVerdict&)>;

  explicit ClaimLog(ControlTables& aTables);

  /**
   * Appends a claim. `aDone` is called on this thread once the verdict is known: from
   * within if it is known already, and never if the claim is dropped or released first.
   */
  void claim(const Claim& aClaim, VerdictCallback aDone);

  /** Releases the key of a claim whose order was not run and never will be. */
  void release(const ClaimId& aId);

private:
  /** A claim that has no verdict yet. */
  struct Pending
  {
    Claim claim;
    std::vector<VerdictCallback> callbacks;
    Instant since;
    bool isAppending = false;
    bool wasAppended = false; ///< at least one append was sent; it may have taken effect
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
  Instant mUnreadyUntil; ///< after a gap: when the claims in it have expired
  TimerHandle mRetryTimer;
  TimerHandle mExpiryTimer;
};

} // namespace masticwall
