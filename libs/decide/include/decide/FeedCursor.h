#pragma once

#include <cstdint>

namespace masticwall {

/**
 * The position in the feed of a peer (the VM that feeds this one). Each request states
 * it, so that the reply carries only later changes to the list of VMs. A list older than
 * the local one is skipped; the next newer one is then fetched in full, because a delta
 * would lack the skipped changes. Not thread-safe.
 */
class FeedCursor
{
public:
  /** Revision of the list last received; 0: the next reply must carry the full list. */
  std::uint64_t revision() const { return mRevision; }

  /** The peer's sequence number of the last read of the source that it reported. */
  std::uint64_t readSequence() const { return mReadSequence; }

  /**
   * Records a received feed. `aIsDelta`: its list holds only changes; `aIsStale`: it is
   * older than the local list. Returns true if the list is to be applied.
   */
  bool advance(std::uint64_t aRevision,
               std::uint64_t aReadSequence,
               bool aIsDelta,
               bool aIsStale)
  {
    mReadSequence = aReadSequence;
    mRevision = aRevision;
    if (aIsStale) {
      // The revision stays, as another request would return the same list at once.
      mHasSkipped = true;
      return false;
    }
    if (mHasSkipped && aIsDelta) {
      mRevision = 0;
      return false;
    }
    mHasSkipped = false;
    return true;
  }

private:
  std::uint64_t mRevision = 0;
  std::uint64_t mReadSequence = 0;
  bool mHasSkipped = false; ///< a stale list was skipped, and none applied since
};

} // namespace masticwall
