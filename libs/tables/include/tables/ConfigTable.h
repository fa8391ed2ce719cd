#pragma once

#include <core/OrderedMutex.h>
#include <decide/ConfigReplay.h>

namespace masticwall {

/** The replayed configuration of a control process. Thread-safe; lock level Config. */
template<SectionsValidator V>
class ConfigTable
{
public:
  explicit ConfigTable(V aValidator)
    : mReplay(std::move(aValidator))
  {
  }

  ConfigVerdict apply(const ConfigRecord& aRecord, std::uint64_t aOffset)
  {
    std::scoped_lock lock(mMutex);
    return mReplay.apply(aRecord, aOffset);
  }

  void merge(const ConfigState& aState)
  {
    std::scoped_lock lock(mMutex);
    mReplay.merge(aState);
  }

  ConfigState state() const
  {
    std::scoped_lock lock(mMutex);
    return mReplay.state();
  }

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
