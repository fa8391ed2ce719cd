#pragma once

#include <core/OrderedMutex.h>
#include <decide/Preset.h>
#include <memory>

namespace masticwall {

/**
 * The active preset: the immutable configuration that all threads of the process use.
 * Thread-safe; lock level Preset.
 */
class PresetTable
{
public:
  /** The active preset; null until there is one. */
  std::shared_ptr<const Preset> current() const
  {
    std::scoped_lock lock(mMutex);
    return mPreset;
  }

  /** Makes `aPreset` active if its version is higher; otherwise returns false. */
  bool put(std::shared_ptr<const Preset> aPreset)
  {
    std::scoped_lock lock(mMutex);
    if (mPreset != nullptr && aPreset->version <= mPreset->version) {
      return false;
    }
    mPreset = std::move(aPreset);
    return true;
  }

  /**
   * Replaces the active preset by one of the same version, decoded again after the
   * settings changed; false if the versions differ.
   */
  bool replaceSameVersion(std::shared_ptr<const Preset> aPreset)
  {
    std::scoped_lock lock(mMutex);
    if (mPreset == nullptr || aPreset->version != mPreset->version) {
      return false;
    }
    mPreset = std::move(aPreset);
    return true;
  }

private:
  mutable OrderedMutex mMutex{ LockLevel::Preset };
  std::shared_ptr<const Preset> mPreset;
};

} // namespace masticwall
