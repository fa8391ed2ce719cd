#include <decide/ClaimIndex.h>

namespace masticwall {

std::optional<ClaimVerdict>
ClaimIndex::applyClaim(const Claim& aClaim)
{
  if (mReplayed.contains(aClaim.id)) {
    return std::nullopt;
  }
  forgetOld(aClaim.madeAtMs);
  mAges.push_back(aClaim);
  ClaimVerdict verdict{ aClaim.id, ClaimStanding::Granted, aClaim.id };
  const auto it = mByKey.find(aClaim.key);
  if (it != mByKey.end() && isHolding(it->second, aClaim.madeAtMs)) {
    const bool isSame = it->second.request == aClaim.request;
    verdict.standing = isSame ? ClaimStanding::Lost : ClaimStanding::KeyReused;
    verdict.holder = it->second.id;
  } else {
    mByKey[aClaim.key] = aClaim;
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
  const auto held = mByKey.find(it->second.key);
  if (held != mByKey.end() && held->second.id == aId) {
    mByKey.erase(held);
  }
}

std::optional<ClaimVerdict>
ClaimIndex::verdictOf(const ClaimId& aId) const
{
  const auto it = mReplayed.find(aId);
  return it == mReplayed.end() ? std::nullopt : std::optional(it->second.verdict);
}

bool
ClaimIndex::isHolding(const Claim& aHolder, std::int64_t aAtMs) const
{
  return aAtMs - aHolder.madeAtMs <= mWindowMs;
}

void
ClaimIndex::forgetOld(std::int64_t aAtMs)
{
  // Twice the window: clocks differ between VMs, and isHolding() decides alone.
  while (!mAges.empty() && aAtMs - mAges.front().madeAtMs > 2 * mWindowMs) {
    const auto& old = mAges.front();
    const auto held = mByKey.find(old.key);
    if (held != mByKey.end() && held->second.id == old.id) {
      mByKey.erase(held);
    }
    mReplayed.erase(old.id);
    mAges.pop_front();
  }
}

} // namespace masticwall
