#pragma once

#include <cstdint>
#include <decide/MembershipDelta.h>
#include <deque>
#include <map>
#include <optional>

namespace masticwall {

/**
 * The revisions of a list of VMs, so that those who have an earlier one are told only
 * what has changed since. Bounded: what was removed long ago is forgotten. Not
 * thread-safe.
 */
class MembershipHistory
{
public:
  /** Revisions start at `aFirst`, which should differ between processes. */
  explicit MembershipHistory(std::uint64_t aFirst)
    : mRevision(aFirst)
    , mOldest(aFirst)
  {
  }

  /** Takes the present list; the revision rises if it differs from the last one. */
  void update(const VmList& aList);

  /** The changes since `aRevision`; none if that is no revision of this history. */
  std::optional<MembershipDelta> since(std::uint64_t aRevision) const;

  /** The whole list, as at the last update. */
  VmList whole() const;

  std::uint64_t revision() const { return mRevision; }

private:
  struct Entry
  {
    Vm vm;
    std::uint64_t changedAt = 0; ///< revision
  };
  struct Removal
  {
    VmKey key;
    std::uint64_t revision = 0;
  };

  std::uint64_t mRevision;
  std::uint64_t mOldest; ///< the earliest revision whose removals are all known
  std::map<VmKey, Entry> mEntries;
  std::deque<Removal> mRemovals; ///< in the order of their revisions
};

} // namespace masticwall
