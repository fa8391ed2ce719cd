#include <algorithm>
#include <decide/AdmissionQueue.h>

namespace masticwall {

namespace {

/**
 * Maximum credit, in starts: how many calls of a rank in a row may start before waiting
 * calls of a more urgent one.
 */
constexpr double kMaxFloorCredit = 2.0;

/** Divisor of the moving average: each new start interval has a weight of 1/8. */
constexpr int kIntervalSmoothing = 8;

/** Safety margin: the prediction is rough, so it may use 1/2 of the allowed wait. */
constexpr int kPredictedWaitNumerator = 1;
constexpr int kPredictedWaitDenominator = 2;

/**
 * Calls of a rank that may wait whatever the predicted wait. Without them the queue of a
 * rank with a small floor would run empty, and the rank would get less than its floor.
 */
constexpr std::int64_t kMinQueuedCalls = 3;

/** Start intervals older than this are not used to predict waits. */
constexpr Duration kIntervalMaxAge = std::chrono::seconds(1);

} // namespace

void
AdmissionQueue::configure(const Policies& aPolicies,
                          int aLimit,
                          std::size_t aMaxQueueLength)
{
  mPolicies = aPolicies;
  mLimit = std::max(1, aLimit);
  mMaxQueueLength = std::max<std::size_t>(1, aMaxQueueLength);
}

Admission
AdmissionQueue::offer(const AdmissionRequest& aRequest, Instant aNow)
{
  if (mInFlight < limit() && !hasWaiting()) {
    ++mInFlight;
    return { AdmissionVerdict::Start, std::nullopt };
  }
  auto& queue = mWaiting[indexOf(aRequest.rank)];
  const bool hasNoRoom =
    queue.size() >= mMaxQueueLength || wouldWaitTooLong(aRequest, aNow);
  if (!hasNoRoom) {
    queue.push(aRequest);
    return { AdmissionVerdict::Wait, std::nullopt };
  }
  // Fairness: callers by the number of their waiting calls, tenants by when these would
  // start.
  const auto displaced = queue.displaceFor(aRequest);
  if (!displaced.has_value()) {
    return { AdmissionVerdict::Refuse, std::nullopt };
  }
  queue.push(aRequest);
  return { AdmissionVerdict::Wait, displaced };
}

AdmissionRelease
AdmissionQueue::release(Instant aNow)
{
  mInFlight = std::max(0, mInFlight - 1);
  AdmissionRelease release;
  while (mInFlight < limit() && hasWaiting()) {
    const auto request = dequeue();
    if (hasExpired(*request, aNow)) {
      release.expired.push_back(*request);
      continue;
    }
    ++mInFlight;
    recordStart(indexOf(request->rank), aNow);
    release.started.push_back(*request);
  }
  return release;
}

bool
AdmissionQueue::hasExpired(const AdmissionRequest& aRequest, Instant aNow) const
{
  return aNow >= aRequest.deadline ||
         aNow - aRequest.arrivedAt > mPolicies[indexOf(aRequest.rank)].target;
}

std::vector<AdmissionRequest>
AdmissionQueue::removeWaiting(Rank aRank)
{
  std::vector<AdmissionRequest> removed;
  for (auto i = indexOf(aRank); i < kRankCount; ++i) {
    while (mWaiting[i].size() > 0) {
      removed.push_back(*mWaiting[i].pop());
    }
  }
  return removed;
}

bool
AdmissionQueue::cancel(const AdmissionRequest& aRequest)
{
  return mWaiting[indexOf(aRequest.rank)].remove(aRequest);
}

bool
AdmissionQueue::hasWaiting() const
{
  return std::any_of(mWaiting.begin(), mWaiting.end(), [](const FairQueue& aQueue) {
    return aQueue.size() > 0;
  });
}

bool
AdmissionQueue::wouldWaitTooLong(const AdmissionRequest& aRequest, Instant aNow) const
{
  const auto rank = indexOf(aRequest.rank);
  const auto queuePosition = static_cast<std::int64_t>(mWaiting[rank].size()) + 1;
  if (queuePosition <= kMinQueuedCalls ||
      aNow - mIntervalUpdatedAt[rank] > kIntervalMaxAge) {
    return false;
  }
  const auto wait = mStartInterval[rank] * queuePosition;
  const auto allowed = std::min(mPolicies[rank].target, aRequest.deadline - aNow);
  return wait > allowed * kPredictedWaitNumerator / kPredictedWaitDenominator;
}

std::optional<AdmissionRequest>
AdmissionQueue::dequeue()
{
  accrueFloorCredit();
  const auto rank = selectRank();
  mFloorCredit[rank] = std::max(0.0, mFloorCredit[rank] - 1.0);
  return mWaiting[rank].pop();
}

std::size_t
AdmissionQueue::selectRank() const
{
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    if (mWaiting[rank].size() > 0 && mFloorCredit[rank] >= 1.0) {
      return rank;
    }
  }
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    if (mWaiting[rank].size() > 0) {
      return rank;
    }
  }
  return 0;
}

void
AdmissionQueue::accrueFloorCredit()
{
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    if (mWaiting[rank].size() > 0) {
      mFloorCredit[rank] =
        std::min(kMaxFloorCredit, mFloorCredit[rank] + mPolicies[rank].floor);
    }
  }
}

void
AdmissionQueue::recordStart(std::size_t aRank, Instant aNow)
{
  auto& lastStart = mLastStart[aRank];
  if (lastStart != Instant{}) {
    const auto interval = std::min(aNow - lastStart, mPolicies[aRank].target);
    const bool isFirstSample = aNow - mIntervalUpdatedAt[aRank] > kIntervalMaxAge;
    mStartInterval[aRank] =
      isFirstSample
        ? interval
        : mStartInterval[aRank] + (interval - mStartInterval[aRank]) / kIntervalSmoothing;
    mIntervalUpdatedAt[aRank] = aNow;
  }
  // The time until the next call arrives says nothing about how fast the queue drains.
  lastStart = mWaiting[aRank].size() > 0 ? aNow : Instant{};
}

} // namespace masticwall
