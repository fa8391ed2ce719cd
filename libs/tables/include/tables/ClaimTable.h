#pragma once

#include <core/OrderedMutex.h>
#include <decide/ClaimIndex.h>
#include <vector>

namespace masticwall {

/** The claims replayed by this control process. Thread-safe; lock level Claim. */
class ClaimTable
{
public:
  explicit ClaimTable(std::int64_t aWindowMs)
    : mIndex(aWindowMs)
  {
  }

  /** Replays one record of the log; returns the verdicts it gave. */
  std::vector<ClaimVerdict> apply(const std::vector<Claim>& aClaims,
                                  const std::vector<ClaimId>& aReleases)
  {
    std::scoped_lock lock(mMutex);
    for (const auto& it : aReleases) {
      mIndex.applyRelease(it);
    }
    std::vector<ClaimVerdict> verdicts;
    for (const auto& it : aClaims) {
      if (const auto verdict = mIndex.applyClaim(it)) {
        verdicts.push_back(*verdict);
      }
    }
    return verdicts;
  }

  std::optional<ClaimVerdict> verdictOf(const ClaimId& aId) const
  {
    std::scoped_lock lock(mMutex);
    return mIndex.verdictOf(aId);
  }

  std::size_t size() const
  {
    std::scoped_lock lock(mMutex);
    return mIndex.size();
  }

private:
  mutable OrderedMutex mMutex{ LockLevel::Claim };
  ClaimIndex mIndex;
};

} // namespace masticwall
