#pragma once

#include <decide/QuotaDecisions.h>
#include <decide/QuotaForecast.h>
#include <decide/QuotaGrant.h>
#include <decide/QuotaRequest.h>
#include <decide/QuotaTerms.h>
#include <decide/QuotaVerdict.h>
#include <deque>
#include <optional>

namespace masticwall {

/**
 * The permits that one VM holds for a tenant, and its calls that wait for one. Permits
 * are requested ahead as the tenant's recent rate in this VM suggests; they expire soon,
 * and those that expire go back to the issuer. Not thread-safe.
 */
class QuotaStock
{
public:
  /** A call arrives, or needs a new permit as its own has expired. */
  QuotaVerdict draw(std::uint64_t aCall, Instant aNow);

  /** Whether permits should be requested ahead. */
  bool isLow(const QuotaTerms& aTerms, Instant aNow) const;

  /** Until when the permit that draw() has granted last could have stayed in the stock.
   */
  Instant drawnUntil() const { return mDrawnUntil; }

  /** A call with a permit is not sent. `aUntil`: drawnUntil() of its permit, which is
   * lost after that: used later it would count for another window. */
  void giveBack(Instant aUntil, Instant aNow);

  /** What should be requested now, if anything; it counts as requested then. */
  std::optional<QuotaRequest> nextRequest(const QuotaTerms& aTerms, Instant aNow);

  /** The reply to a request. */
  QuotaDecisions add(const QuotaGrant& aGrant, const QuotaTerms& aTerms, Instant aNow);

  /** The time after which a refused call may come back. */
  Duration retryAfter(Instant aNow) const;

  /** Counts a refused call; true for the first one in a while. */
  bool recordRefusal(Instant aNow);

  std::uint64_t refusals() const { return mRefusals; }
  int permits() const { return mPermits; }
  std::size_t waiting() const { return mWaiting.size(); }

  /** True if there was no call for long, and nothing is in progress. */
  bool isUnused(Instant aNow) const;

private:
  struct Batch
  {
    int permits = 0;
    Instant expiresAt;
  };

  struct WaitingCall
  {
    std::uint64_t id = 0;
    bool isRequested = false; ///< its permit has been
  };

  void expire(Instant aNow);
  bool tryTake(Instant aNow);

  std::deque<Batch> mBatches; ///< the first to expire first
  std::deque<WaitingCall> mWaiting;
  QuotaForecast mForecast;
  int mPermits = 0;        ///< in mBatches
  int mReturned = 0;       ///< reported with the next request
  int mRequestedAhead = 0; ///< in requests without a reply
  Instant mNextRequestAt;  ///< until then calls are refused at once
  Instant mRetryAt;        ///< for callers
  Instant mDrawnUntil;
  Instant mUsedAt;
  Instant mRefusedAt;
  std::uint64_t mRefusals = 0;
};

} // namespace masticwall
