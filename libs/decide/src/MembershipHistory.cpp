#include <decide/MembershipHistory.h>
#include <set>

namespace masticwall {

namespace {

/**
 * Removals that are kept. Bounds the memory; enough for some minutes of VM replacements
 * in a large region.
 */
constexpr std::size_t kMaxRemovals = 2000;

} // namespace

void
MembershipHistory::update(const VmList& aList)
{
  const auto next = mRevision + 1;
  bool isChanged = false;
  std::set<VmKey> present;
  for (const auto& it : aList) {
    const auto key = keyOf(it);
    present.insert(key);
    const auto [known, isNew] = mEntries.try_emplace(key);
    if (isNew || !(known->second.vm == it)) {
      known->second = { it, next };
      isChanged = true;
    }
  }
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    if (present.count(it->first) > 0) {
      ++it;
      continue;
    }
    mRemovals.push_back({ it->first, next });
    it = mEntries.erase(it);
    isChanged = true;
  }
  mRevision += isChanged ? 1 : 0;
  while (mRemovals.size() > kMaxRemovals) {
    mOldestRevision = mRemovals.front().revision;
    mRemovals.pop_front();
  }
}

std::optional<MembershipDelta>
MembershipHistory::deltaSince(std::uint64_t aRevision) const
{
  if (aRevision < mOldestRevision || aRevision > mRevision) {
    return std::nullopt;
  }
  MembershipDelta delta;
  for (const auto& [key, entry] : mEntries) {
    if (entry.changedInRevision > aRevision) {
      delta.changed.push_back(entry.vm);
    }
  }
  for (const auto& it : mRemovals) {
    if (it.revision > aRevision && mEntries.count(it.key) == 0) {
      delta.removed.push_back(it.key);
    }
  }
  return delta;
}

VmList
MembershipHistory::currentList() const
{
  VmList list;
  list.reserve(mEntries.size());
  for (const auto& [key, entry] : mEntries) {
    list.push_back(entry.vm);
  }
  return list;
}

} // namespace masticwall
