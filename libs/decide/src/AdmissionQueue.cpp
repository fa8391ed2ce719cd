#include <algorithm>
#include <decide/AdmissionQueue.h>

namespace masticwall {

namespace {

constexpr double kMaxCredit = 2.0;
constexpr int kIntervalWeight = 8; ///< one start weighs 1/8 in the mean interval

/** Waits are foreseen only roughly: this share of what is allowed is given out. */
constexpr int kForeseenNumerator = 1;
constexpr int kForeseenDenominator = 2;

/** So many calls of a rank may always wait: a small floor's queue must not run empty. */
constexpr std::int64_t kAlwaysWaiting = 3;

/** How fast a rank starts is foreseen from starts no older than this. */
constexpr Duration kIntervalLife = std::chrono::seconds(1);

/** A caller gives up places only to callers with less than this part of its own. */
constexpr std::size_t kNoisyFactor = 2;

} // namespace

void
AdmissionQueue::configure(const Policies& aPolicies, int aLimit, std::size_t aQueueLength)
{
  mPolicies = aPolicies;
  mLimit = std::max(1, aLimit);
  mQueueLength = std::max<std::size_t>(1, aQueueLength);
}

Admission
AdmissionQueue::offer(const Ticket& aTicket, Instant aNow)
{
  if (mInFlight < mLimit && !hasWaiting()) {
    ++mInFlight;
    return { AdmissionVerdict::Start, std::nullopt };
  }
  auto& queue = mWaiting[indexOf(aTicket.rank)];
  const bool isFull = queue.size() >= mQueueLength || wouldWaitTooLong(aTicket, aNow);
  if (!isFull) {
    queue.push(aTicket);
    return { AdmissionVerdict::Wait, std::nullopt };
  }
  // A caller with a much shorter queue takes the place of the caller with the longest.
  if (queue.longest() <= kNoisyFactor * (queue.sizeOf(aTicket.caller) + 1)) {
    return { AdmissionVerdict::Refuse, std::nullopt };
  }
  const auto displaced = queue.popNewestOfLongest();
  queue.push(aTicket);
  return { AdmissionVerdict::Wait, displaced };
}

AdmissionRelease
AdmissionQueue::release(Instant aNow)
{
  mInFlight = std::max(0, mInFlight - 1);
  AdmissionRelease release;
  while (mInFlight < mLimit && hasWaiting()) {
    const auto ticket = next();
    if (hasExpired(*ticket, aNow)) {
      release.expired.push_back(*ticket);
      continue;
    }
    ++mInFlight;
    noteStart(indexOf(ticket->rank), aNow);
    release.started.push_back(*ticket);
  }
  return release;
}

bool
AdmissionQueue::hasExpired(const Ticket& aTicket, Instant aNow) const
{
  return aNow >= aTicket.deadline ||
         aNow - aTicket.arrivedAt > mPolicies[indexOf(aTicket.rank)].target;
}

bool
AdmissionQueue::cancel(const Ticket& aTicket)
{
  return mWaiting[indexOf(aTicket.rank)].remove(aTicket.call, aTicket.caller);
}

bool
AdmissionQueue::hasWaiting() const
{
  return std::any_of(mWaiting.begin(), mWaiting.end(), [](const CallerQueue& aQueue) {
    return aQueue.size() > 0;
  });
}

bool
AdmissionQueue::wouldWaitTooLong(const Ticket& aTicket, Instant aNow) const
{
  const auto rank = indexOf(aTicket.rank);
  const auto ahead = static_cast<std::int64_t>(mWaiting[rank].size()) + 1;
  if (ahead <= kAlwaysWaiting || aNow - mIntervalAt[rank] > kIntervalLife) {
    return false;
  }
  const auto wait = mStartInterval[rank] * ahead;
  const auto allowed = std::min(mPolicies[rank].target, aTicket.deadline - aNow);
  return wait > allowed * kForeseenNumerator / kForeseenDenominator;
}

std::optional<Ticket>
AdmissionQueue::next()
{
  earnFloors();
  const auto rank = nextRank();
  mCredit[rank] = std::max(0.0, mCredit[rank] - 1.0);
  return mWaiting[rank].pop();
}

std::size_t
AdmissionQueue::nextRank() const
{
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    if (mWaiting[rank].size() > 0 && mCredit[rank] >= 1.0) {
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
AdmissionQueue::earnFloors()
{
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    if (mWaiting[rank].size() > 0) {
      mCredit[rank] = std::min(kMaxCredit, mCredit[rank] + mPolicies[rank].floor);
    }
  }
}

void
AdmissionQueue::noteStart(std::size_t aRank, Instant aNow)
{
  auto& last = mLastStart[aRank];
  if (last != Instant{}) {
    const auto interval = std::min(aNow - last, mPolicies[aRank].target);
    const bool isFirst = aNow - mIntervalAt[aRank] > kIntervalLife;
    mStartInterval[aRank] =
      isFirst
        ? interval
        : mStartInterval[aRank] + (interval - mStartInterval[aRank]) / kIntervalWeight;
    mIntervalAt[aRank] = aNow;
  }
  // An idle stretch says nothing of how fast a queue drains.
  last = mWaiting[aRank].size() > 0 ? aNow : Instant{};
}

} // namespace masticwall
