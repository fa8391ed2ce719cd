#pragma once

#include <core/OrderedMutex.h>
#include <decide/ConfigReplay.h>

namespace masticwall {

/**
 * The configuration that a control process has replayed from the log. Thread-safe; lock
 * level Config.
 */
template<SectionsValidator V>
class ConfigTable
{
public:
  explicit ConfigTable(V aValidator)
    : mReplay(std::move(aValidator))
  {
  }

  /** Applies the record at `aOffset` of the log. */
  ConfigVerdict apply(const ConfigRecord& aRecord, std::uint64_t aOffset)
  {
    std::scoped_lock lock(mMutex);
    return mReplay.apply(aRecord, aOffset);
  }

  /** Merges a peer's state, taking each section that is newer. */
  void merge(const ConfigState& aState)
  {
    std::scoped_lock lock(mMutex);
    mReplay.merge(aState);
  }

  /** The sections, and the version of the last change. */
  ConfigState state() const
  {
    std::scoped_lock lock(mMutex);
    return mReplay.state();
  }

  /** The version of the last change; 0 if there was none. */
  std::uint64_t version() const
  {
    std::scoped_lock lock(mMutex);
    return mReplay.state().version;
  }

private:
  mutable OrderedMutex mMutex{ LockLevel::Config };
  ConfigReplay<V> mReplay;
};

} // namespace masticwall
