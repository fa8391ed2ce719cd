#pragma once

#include <cstddef>
#include <decide/ClaimVerdict.h>
#include <deque>
#include <optional>
#include <unordered_map>

namespace masticwall {

/**
 * The claims of the window, replayed from the log. Every reader that replays the same
 * records reaches the same verdicts: the first claim of a key wins; a release frees the
 * key for the next claim; a claim's verdict is given at its first occurrence, and later
 * copies of it change nothing. A claim holds its key for the window, counted in the
 * claimants' own times so that all readers agree. Not thread-safe.
 */
class ClaimIndex
{
public:
  explicit ClaimIndex(std::int64_t aWindowMs)
    : mWindowMs(aWindowMs)
  {
  }

  /** Replays a claim. Returns the verdict, or nothing for a copy of one replayed. */
  std::optional<ClaimVerdict> applyClaim(const Claim& aClaim);

  /** Replays a release by the claimant. */
  void applyRelease(const ClaimId& aId);

  /** The verdict given to a claim replayed earlier, or nothing. */
  std::optional<ClaimVerdict> verdictOf(const ClaimId& aId) const;

  std::size_t size() const { return mByKey.size(); }

private:
  struct Replayed
  {
    ClaimVerdict verdict;
    Digest key;
  };

  bool isHolding(const Claim& aHolder, std::int64_t aAtMs) const;
  void forgetOld(std::int64_t aAtMs);

  std::unordered_map<Digest, Claim> mByKey;
  std::unordered_map<ClaimId, Replayed> mReplayed;
  std::deque<Claim> mAges;
  std::int64_t mWindowMs;
};

} // namespace masticwall
