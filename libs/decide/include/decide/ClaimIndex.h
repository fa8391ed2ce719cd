#pragma once

#include <cstddef>
#include <decide/ClaimVerdict.h>
#include <deque>
#include <optional>
#include <unordered_map>

namespace masticwall {

/**
 * Index of the recent claims, built by replaying the claims log. Every process that
 * replays the same records reaches the same verdicts:
 * - The first claim of a key is granted. Until it is released or expires, later ones get
 *   Lost or KeyReused.
 * - A claim gets its verdict at its first occurrence on the log; duplicates of it change
 *   nothing.
 * - A granted claim expires after the window. Expiry compares the claimants' timestamps
 *   and not the local clock, so that all readers agree.
 *
 * Not thread-safe.
 */
class ClaimIndex
{
public:
  /** `aWindowMs`: how long a granted claim holds its key, in milliseconds. */
  explicit ClaimIndex(std::int64_t aWindowMs)
    : mWindowMs(aWindowMs)
  {
  }

  /** Replays a claim. Returns its verdict, or nothing for a duplicate. */
  std::optional<ClaimVerdict> applyClaim(const Claim& aClaim);

  /** Replays a release; it frees the key only if the claim `aId` holds it. */
  void applyRelease(const ClaimId& aId);

  /** The verdict of a claim replayed earlier; nothing if unknown or evicted. */
  std::optional<ClaimVerdict> verdictOf(const ClaimId& aId) const;

  /** The number of held keys; expired claims count until they are evicted. */
  std::size_t size() const { return mHolders.size(); }

private:
  struct ReplayedClaim
  {
    ClaimVerdict verdict;
    Digest key;
  };

  /** Whether a claim made at `aAtMs` (Unix time) finds `aHolder` unexpired. */
  bool isUnexpired(const Claim& aHolder, std::int64_t aAtMs) const;
  /** Evicts claims made more than twice the window before `aAtMs`. */
  void evictOld(std::int64_t aAtMs);

  std::unordered_map<Digest, Claim> mHolders; ///< by key
  std::unordered_map<ClaimId, ReplayedClaim> mReplayed;
  std::deque<Claim> mEvictionQueue; ///< in log order
  std::int64_t mWindowMs;
};

} // namespace masticwall
