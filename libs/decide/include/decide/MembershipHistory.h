#pragma once

#include <cstdint>
#include <decide/MembershipDelta.h>
#include <deque>
#include <map>
#include <optional>

namespace masticwall {

/**
 * A versioned list of VMs that computes the delta from an earlier revision. Bounded: old
 * removals are dropped, and revisions before them get no delta. Not thread-safe.
 */
class MembershipHistory
{
public:
  /**
   * Revisions start at `aFirstRevision`. It should differ between processes, and between
   * starts of one, so that the revisions of two histories can't be confused.
   */
  explicit MembershipHistory(std::uint64_t aFirstRevision)
    : mRevision(aFirstRevision)
    , mOldestRevision(aFirstRevision)
  {
  }

  /** Sets the current list; increments the revision if the list has changed. */
  void update(const VmList& aList);

  /** The delta from `aRevision`; nothing if that revision is unknown or too old. */
  std::optional<MembershipDelta> deltaSince(std::uint64_t aRevision) const;

  /** The current list, sorted by VmKey. */
  VmList currentList() const;

  std::uint64_t revision() const { return mRevision; }

private:
  struct Entry
  {
    Vm vm;
    std::uint64_t changedInRevision = 0;
  };
  struct Removal
  {
    VmKey key;
    std::uint64_t revision = 0;
  };

  std::uint64_t mRevision;
  std::uint64_t mOldestRevision; ///< the first for which a delta can be computed
  std::map<VmKey, Entry> mEntries;
  std::deque<Removal> mRemovals; ///< sorted by revision
};

} // namespace masticwall
