#pragma once

#include "ControlTables.h"
#include "StreamReader.h"
#include <deque>
#include <map>
#include <messages/ClaimRecord.h>
#include <vector>

namespace masticwall {

/**
 * Appends claims and releases to the log, many in a record, and gives the verdicts that
 * its replay reaches. A claim whose append's answer was lost is appended again under its
 * own id, which changes nothing. Lives on one thread.
 */
class ClaimKeeper
{
public:
  using Verdict = std::function<void(const ClaimVerdict&)>;

  explicit ClaimKeeper(ControlTables& aTables);

  /** Calls back, on this thread, once the claim's verdict is known. */
  void claim(const Claim& aClaim, Verdict aDone);

  /** The claim's order was not run and never will be: frees its key. */
  void release(const ClaimId& aId);

private:
  /** A claim without a verdict. */
  struct Pending
  {
    Claim claim;
    std::vector<Verdict> waiters;
    Instant since;
    bool isAppending = false;
    bool wasAppended = false; ///< an append was tried; it may have taken effect
    bool isReleased = false;
  };

  void onRecord(const LogRecord& aRecord);
  void onHead();
  void onGap();
  void give(const ClaimVerdict& aVerdict);
  void appendNext();
  ClaimRecord takeBatch();
  void onAppended(const ClaimRecord& aRecord, const Result<std::uint64_t>& aResult);
  void dropOld();
  void noteUnsettled();

  ControlTables& mTables;
  TimerService mTimers;
  LogClient mLog;
  StreamReader mReader;
  std::map<ClaimId, Pending> mPending;
  std::deque<ClaimId> mToAppend;
  std::deque<ClaimId> mToRelease;
  int mAppendsInFlight = 0;
  Instant mUnreadyUntil; ///< after a gap; claims made in it must expire first
  TimerHandle mRetry;
  TimerHandle mCleaning;
};

} // namespace masticwall
