#pragma once

#include <array>
#include <decide/Admission.h>
#include <decide/CallerQueue.h>
#include <decide/RankPolicy.h>
#include <vector>

namespace masticwall {

/**
 * Decides which calls of one service start, wait or are refused in one entry process.
 *
 * Urgent work starts first; each rank with waiting calls earns its floor as a share of
 * starts, so that no flood, of whichever rank, takes all of them. A call that would
 * wait longer than its rank's target, judged by how fast its rank has been starting, is
 * refused at once, and one that has waited longer is not started. Not thread-safe; pure:
 * the same events give the same decisions.
 */
class AdmissionQueue
{
public:
  using Policies = std::array<RankPolicy, kRankCount>;

  /** Sets the policy; `aLimit` is the number of calls in flight, at least 1. */
  void configure(const Policies& aPolicies, int aLimit, std::size_t aQueueLength);

  Admission offer(const Ticket& aTicket, Instant aNow);

  /** A started call ended: others start, and those that waited too long are dropped. */
  AdmissionRelease release(Instant aNow);

  /** Forgets a waiting call (its caller left); false if it is not waiting. */
  bool cancel(const Ticket& aTicket);

  int inFlight() const { return mInFlight; }
  int limit() const { return mLimit; }
  std::size_t waiting(Rank aRank) const { return mWaiting[indexOf(aRank)].size(); }

private:
  bool hasWaiting() const;
  bool wouldWaitTooLong(const Ticket& aTicket, Instant aNow) const;
  bool hasExpired(const Ticket& aTicket, Instant aNow) const;
  std::optional<Ticket> next();
  std::size_t nextRank() const;
  void earnFloors();
  void noteStart(std::size_t aRank, Instant aNow);

  Policies mPolicies;
  std::array<CallerQueue, kRankCount> mWaiting;
  std::array<double, kRankCount> mCredit{};
  std::array<Duration, kRankCount> mStartInterval{};
  std::array<Instant, kRankCount> mIntervalAt{}; ///< when the interval was last seen
  std::array<Instant, kRankCount> mLastStart{};
  int mLimit = 1;
  int mInFlight = 0;
  std::size_t mQueueLength = 1;
};

} // namespace masticwall
