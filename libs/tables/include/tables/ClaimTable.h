#pragma once

#include <core/OrderedMutex.h>
#include <decide/ClaimIndex.h>
#include <vector>

namespace masticwall {

/**
 * The claims on idempotency keys that this control process has replayed from the log.
 * Thread-safe; lock level Claim.
 */
class ClaimTable
{
public:
  /** A granted claim holds its key for `aWindowMs` milliseconds; see ClaimIndex. */
  explicit ClaimTable(std::int64_t aWindowMs)
    : mIndex(aWindowMs)
  {
  }

  /**
   * Replays one log record: first its releases, then its claims. Returns the verdicts on
   * claims that were not replayed before.
   */
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

  /** The verdict on a replayed claim; std::nullopt if the claim is unknown. */
  std::optional<ClaimVerdict> verdictOf(const ClaimId& aId) const
  {
    std::scoped_lock lock(mMutex);
    return mIndex.verdictOf(aId);
  }

  /** The number of keys that are claimed. */
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
