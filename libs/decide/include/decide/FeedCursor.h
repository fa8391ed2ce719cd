#pragma once

#include <cstdint>

namespace masticwall {

/**
 * What the VM that is followed has told of its list of VMs, so that it tells only what is
 * new. A list that is older than what is known here is passed over, and fetched whole
 * once its teller knows more. Not thread-safe.
 */
class FeedCursor
{
public:
  /** What the next request says is known; 0: the whole list is wanted, at once. */
  std::uint64_t revision() const { return mRevision; }
  std::uint64_t reading() const { return mReading; }

  /**
   * A feed came with `aRevision` and `aReading`, its list as a delta or whole. True if
   * the list is to be applied.
   */
  bool take(std::uint64_t aRevision, std::uint64_t aReading, bool aIsDelta, bool aIsOlder)
  {
    mReading = aReading;
    mRevision = aRevision;
    if (aIsOlder) {
      // Asked for again at once, it would be the same list.
      mIsMissed = true;
      return false;
    }
    if (mIsMissed && aIsDelta) {
      mRevision = 0;
      return false;
    }
    mIsMissed = false;
    return true;
  }

private:
  std::uint64_t mRevision = 0;
  std::uint64_t mReading = 0;
  bool mIsMissed = false; ///< the list of mRevision was not applied
};

} // namespace masticwall
