#include <algorithm>
#include <decide/PermitStock.h>

namespace masticwall {

namespace {

constexpr Duration kPermitLifetime = std::chrono::milliseconds(250);

} // namespace

void
PermitStock::add(const PermitGrant& aGrant, Rank aRank, Instant aNow)
{
  if (aGrant.permits > 0) {
    mPermits = aGrant.permits + (isEmpty(aNow) ? 0 : mPermits);
    mExpiresAt = aNow + kPermitLifetime;
    return;
  }
  for (auto i = indexOf(aRank); i < kRankCount; ++i) {
    mNextRequestAt[i] = std::max(mNextRequestAt[i], aNow + aGrant.nextIn);
  }
}

void
PermitStock::postponeRequests(Instant aUntil)
{
  for (auto& it : mNextRequestAt) {
    it = std::max(it, aUntil);
  }
}

bool
PermitStock::tryTake(Instant aNow)
{
  if (isEmpty(aNow)) {
    return false;
  }
  --mPermits;
  return true;
}

} // namespace masticwall
