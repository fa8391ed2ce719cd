#pragma once

#include <array>
#include <decide/Admission.h>
#include <decide/FairQueue.h>
#include <decide/RankPolicy.h>
#include <vector>

namespace masticwall {

/**
 * Admission control for one service in one entry process: limits the calls in flight and
 * decides which calls start, wait or are refused.
 *
 * Ranks are strict priorities, with a guaranteed minimum: each rank with waiting calls
 * accrues credit for its floor, a share of all starts, so that an overload in one rank
 * can't starve the others. A call is refused at once if its predicted wait, from the
 * rank's recent start rate, is too long for its rank's target (the maximum time in the
 * queue) or its deadline. A call that has waited past either expires and doesn't start.
 *
 * Not thread-safe. Deterministic: it reads no clock, and the same calls in the same order
 * give the same decisions.
 */
class AdmissionQueue
{
public:
  using Policies = std::array<RankPolicy, kRankCount>;

  /**
   * Sets the policies by rank. `aLimit` bounds the calls in flight, `aMaxQueueLength` the
   * waiting calls of each rank; values below 1 count as 1.
   */
  void configure(const Policies& aPolicies, int aLimit, std::size_t aMaxQueueLength);

  /** Sets how many calls in flight are allowed beyond the limit for now; none at first.
   */
  void setMargin(int aCalls) { mMargin = aCalls; }

  /** Admits, queues or refuses a new call. */
  Admission offer(const AdmissionRequest& aRequest, Instant aNow);

  /** A started call ended. Starts waiting calls up to the limit and expires old ones. */
  AdmissionRelease release(Instant aNow);

  /** Removes and returns the waiting calls of `aRank` and of less urgent ones, the most
   * urgent first. */
  std::vector<AdmissionRequest> removeWaiting(Rank aRank);

  /**
   * Removes a waiting call, e.g. when its caller disconnects; false if it is not waiting.
   * Finds it by the request's call id, caller, tenant and rank.
   */
  bool cancel(const AdmissionRequest& aRequest);

  int inFlight() const { return mInFlight; }
  int limit() const { return mLimit + mMargin; }

  /** The number of waiting calls of a rank. */
  std::size_t waiting(Rank aRank) const { return mWaiting[indexOf(aRank)].size(); }

  bool hasWaiting() const;

private:
  bool wouldWaitTooLong(const AdmissionRequest& aRequest, Instant aNow) const;
  bool hasExpired(const AdmissionRequest& aRequest, Instant aNow) const;
  std::optional<AdmissionRequest> dequeue();
  std::size_t selectRank() const;
  void accrueFloorCredit();
  void recordStart(std::size_t aRank, Instant aNow);

  Policies mPolicies;
  std::array<FairQueue, kRankCount> mWaiting;
  std::array<double, kRankCount> mFloorCredit{};        ///< in starts
  std::array<Duration, kRankCount> mStartInterval{};    ///< moving average
  std::array<Instant, kRankCount> mIntervalUpdatedAt{}; ///< for mStartInterval
  std::array<Instant, kRankCount> mLastStart{}; ///< zero if it left no call waiting
  int mLimit = 1;
  int mMargin = 0; ///< calls in flight beyond `mLimit`
  int mInFlight = 0;
  std::size_t mMaxQueueLength = 1;
};

} // namespace masticwall
