#include <algorithm>
#include <decide/QuotaStock.h>
#include <utility>

namespace masticwall {

namespace {

constexpr Duration kForgetAfter = std::chrono::minutes(1);
constexpr Duration kQuietAfter = std::chrono::seconds(10);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);

} // namespace

void
QuotaStock::expire(Instant aNow)
{
  while (!mBatches.empty() && mBatches.front().expiresAt <= aNow) {
    mReturned += mBatches.front().permits;
    mPermits -= mBatches.front().permits;
    mBatches.pop_front();
  }
}

bool
QuotaStock::tryTake(Instant aNow)
{
  expire(aNow);
  if (mPermits == 0) {
    return false;
  }
  --mPermits;
  mDrawnUntil = mBatches.front().expiresAt;
  if (--mBatches.front().permits == 0) {
    mBatches.pop_front();
  }
  return true;
}

QuotaVerdict
QuotaStock::draw(std::uint64_t aCall, Instant aNow)
{
  mUsedAt = aNow;
  mForecast.recordCall(aNow);
  if (mWaiting.empty() && tryTake(aNow)) {
    return QuotaVerdict::Granted;
  }
  if (aNow < mNextRequestAt) {
    return QuotaVerdict::Refused;
  }
  mWaiting.push_back({ aCall, false });
  return QuotaVerdict::Waiting;
}

bool
QuotaStock::isLow(const QuotaTerms& aTerms, Instant aNow) const
{
  return aNow >= mNextRequestAt && 2 * (mPermits + mRequestedAhead) <
                                     mForecast.expectedWithin(aTerms.stockLifetime, aNow);
}

void
QuotaStock::giveBack(Instant aUntil, Instant aNow)
{
  expire(aNow);
  if (aUntil <= aNow) {
    return;
  }
  const auto later =
    std::find_if(mBatches.begin(), mBatches.end(), [aUntil](const Batch& aBatch) {
      return aBatch.expiresAt > aUntil;
    });
  mBatches.insert(later, { 1, aUntil });
  ++mPermits;
}

std::optional<QuotaRequest>
QuotaStock::nextRequest(const QuotaTerms& aTerms, Instant aNow)
{
  expire(aNow);
  QuotaRequest request;
  for (auto& it : mWaiting) {
    request.needed += it.isRequested ? 0 : 1;
    it.isRequested = true;
  }
  if (request.needed == 0 && !isLow(aTerms, aNow)) {
    return std::nullopt;
  }
  request.ahead = std::max(
    0, mForecast.expectedWithin(aTerms.stockLifetime, aNow) - mPermits - mRequestedAhead);
  mRequestedAhead += request.ahead;
  request.returned = std::exchange(mReturned, 0);
  return request;
}

QuotaDecisions
QuotaStock::add(const QuotaGrant& aGrant, const QuotaTerms& aTerms, Instant aNow)
{
  expire(aNow);
  mRequestedAhead = 0;
  if (aGrant.permits > 0) {
    mPermits += aGrant.permits;
    mBatches.push_back({ aGrant.permits, aNow + aTerms.stockLifetime });
  }
  QuotaDecisions decisions;
  while (!mWaiting.empty() && tryTake(aNow)) {
    decisions.granted.push_back(mWaiting.front().id);
    mWaiting.pop_front();
  }
  if (aGrant.nextIn > Duration{ 0 }) {
    mNextRequestAt = aNow + aGrant.nextIn;
    mRetryAt = aNow + aGrant.retryAfter;
    for (const auto& it : mWaiting) {
      if (it.isRequested) {
        decisions.refused.push_back(it.id);
      }
    }
    std::erase_if(mWaiting, [](const WaitingCall& aCall) { return aCall.isRequested; });
  }
  return decisions;
}

Duration
QuotaStock::retryAfter(Instant aNow) const
{
  return std::max({ kMinRetryAfter, mNextRequestAt - aNow, mRetryAt - aNow });
}

bool
QuotaStock::recordRefusal(Instant aNow)
{
  ++mRefusals;
  const auto before = std::exchange(mRefusedAt, aNow);
  return before == Instant{} || aNow - before > kQuietAfter;
}

bool
QuotaStock::isUnused(Instant aNow) const
{
  return mWaiting.empty() && aNow - mUsedAt > kForgetAfter;
}

} // namespace masticwall
