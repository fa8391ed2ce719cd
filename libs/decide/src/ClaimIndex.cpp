#include <decide/ClaimIndex.h>

namespace masticwall {

std::optional<ClaimVerdict>
ClaimIndex::applyClaim(const Claim& aClaim)
{
  if (mReplayed.contains(aClaim.id)) {
    return std::nullopt;
  }
  evictOld(aClaim.madeAtMs);
  mEvictionQueue.push_back(aClaim);
  ClaimVerdict verdict{ aClaim.id, ClaimStatus::Granted, aClaim.id };
  const auto it = mHolders.find(aClaim.key);
  if (it != mHolders.end() && isUnexpired(it->second, aClaim.madeAtMs)) {
    const bool isSame = it->second.request == aClaim.request;
    verdict.claimStatus = isSame ? ClaimStatus::Lost : ClaimStatus::KeyReused;
    verdict.holder = it->second.id;
  } else {
    mHolders[aClaim.key] = aClaim;
  }
  mReplayed[aClaim.id] = { verdict, aClaim.key };
  return verdict;
}

void
ClaimIndex::applyRelease(const ClaimId& aId)
{
  const auto it = mReplayed.find(aId);
  if (it == mReplayed.end()) {
    return;
  }
  const auto holder = mHolders.find(it->second.key);
  if (holder != mHolders.end() && holder->second.id == aId) {
    mHolders.erase(holder);
  }
}

std::optional<ClaimVerdict>
ClaimIndex::verdictOf(const ClaimId& aId) const
{
  const auto it = mReplayed.find(aId);
  return it == mReplayed.end() ? std::nullopt : std::optional(it->second.verdict);
}

bool
ClaimIndex::isUnexpired(const Claim& aHolder, std::int64_t aAtMs) const
{
  return aAtMs - aHolder.madeAtMs <= mWindowMs;
}

void
ClaimIndex::evictOld(std::int64_t aAtMs)
{
  // Twice the window, because clocks differ between VMs. Expiry is left to isUnexpired().
  while (!mEvictionQueue.empty() &&
         aAtMs - mEvictionQueue.front().madeAtMs > 2 * mWindowMs) {
    const auto& old = mEvictionQueue.front();
    const auto holder = mHolders.find(old.key);
    if (holder != mHolders.end() && holder->second.id == old.id) {
      mHolders.erase(holder);
    }
    mReplayed.erase(old.id);
    mEvictionQueue.pop_front();
  }
}

} // namespace masticwall
