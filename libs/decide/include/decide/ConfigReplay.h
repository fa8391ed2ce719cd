#pragma once

#include <concepts>
#include <decide/ConfigRecord.h>
#include <decide/ConfigState.h>
#include <decide/ConfigVerdict.h>

namespace masticwall {

/**
 * Checks whether sections, by name, form a valid preset. Must be a pure function: all
 * readers of the log have to reach the same result.
 */
template<class V>
concept SectionsValidator = requires(const V aValidator,
                                     const std::map<std::string, std::string>& aSections)
{
  {
    aValidator(aSections)
    } -> std::same_as<bool>;
};

/**
 * Builds the configuration by replaying the configuration log. Concurrent writes are
 * resolved by optimistic locking: of two records with the same base version, the first on
 * the log is accepted, and every reader rejects the second. Versions never decrease; a
 * snapshot applies only if it is newer than the present state. Not thread-safe.
 */
template<SectionsValidator V>
class ConfigReplay
{
public:
  explicit ConfigReplay(V aValidator)
    : mValidator(std::move(aValidator))
  {
  }

  /** Applies the record at log offset `aOffset`; its version is the offset plus 1. */
  ConfigVerdict apply(const ConfigRecord& aRecord, std::uint64_t aOffset)
  {
    const auto version = aOffset + 1;
    switch (aRecord.operation) {
      case ConfigOperation::Publish:
        return applyPublish(aRecord, version);
      case ConfigOperation::Switch:
        return applySwitch(aRecord, version);
      case ConfigOperation::SectionSnapshot:
        return applySectionSnapshot(aRecord);
      case ConfigOperation::SwitchSnapshot:
        return activateIfNewer(aRecord.key.preset, aRecord.version);
    }
    return ConfigVerdict::Invalid;
  }

  /** Merges a peer's state: each section, and the active preset, where it is newer. */
  void merge(const ConfigState& aState)
  {
    for (const auto& [key, section] : aState.sections) {
      auto& known = mState.sections[key];
      if (section.version > known.version) {
        known = section;
      }
    }
    activateIfNewer(aState.activePreset, aState.switchVersion);
    mState.version = std::max(mState.version, aState.version);
    mMergedVersion = std::max(mMergedVersion, aState.version);
  }

  const ConfigState& state() const { return mState; }

private:
  ConfigVerdict applyPublish(const ConfigRecord& aRecord, std::uint64_t aVersion)
  {
    const auto it = mState.sections.find(aRecord.key);
    const auto known = it == mState.sections.end() ? 0 : it->second.version;
    if (aVersion <= known || aVersion <= mMergedVersion) {
      return ConfigVerdict::Known;
    }
    if (aRecord.base != known) {
      return ConfigVerdict::StaleBase;
    }
    auto sections = mState.sectionsOf(aRecord.key.preset);
    sections[aRecord.key.section] = aRecord.text;
    // A preset that is not active is validated in full by the switch that activates it.
    const bool isActive = aRecord.key.preset == mState.activePreset;
    const std::map<std::string, std::string> changedOnly{ { aRecord.key.section,
                                                            aRecord.text } };
    if (!mValidator(isActive ? sections : changedOnly)) {
      return ConfigVerdict::Invalid;
    }
    mState.sections[aRecord.key] = { aVersion, aRecord.text };
    mState.version = aVersion;
    return ConfigVerdict::Accepted;
  }

  ConfigVerdict applySwitch(const ConfigRecord& aRecord, std::uint64_t aVersion)
  {
    if (aVersion <= mState.switchVersion || aVersion <= mMergedVersion) {
      return ConfigVerdict::Known;
    }
    if (aRecord.base != mState.switchVersion) {
      return ConfigVerdict::StaleBase;
    }
    const auto sections = mState.sectionsOf(aRecord.key.preset);
    if (!sections.contains(kGeneralSection) || !mValidator(sections)) {
      return ConfigVerdict::Invalid;
    }
    mState.activePreset = aRecord.key.preset;
    mState.switchVersion = aVersion;
    mState.version = aVersion;
    return ConfigVerdict::Accepted;
  }

  ConfigVerdict applySectionSnapshot(const ConfigRecord& aRecord)
  {
    auto& known = mState.sections[aRecord.key];
    if (aRecord.version <= known.version) {
      return ConfigVerdict::Known;
    }
    known = { aRecord.version, aRecord.text };
    mState.version = std::max(mState.version, aRecord.version);
    return ConfigVerdict::Accepted;
  }

  ConfigVerdict activateIfNewer(const std::string& aPreset, std::uint64_t aVersion)
  {
    if (aVersion <= mState.switchVersion) {
      return ConfigVerdict::Known;
    }
    mState.activePreset = aPreset;
    mState.switchVersion = aVersion;
    mState.version = std::max(mState.version, aVersion);
    return ConfigVerdict::Accepted;
  }

  V mValidator;
  ConfigState mState;
  std::uint64_t mMergedVersion = 0; ///< the highest version of a merged peer's state
};

} // namespace masticwall
