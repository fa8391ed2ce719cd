#pragma once

#include <concepts>
#include <decide/ConfigRecord.h>
#include <decide/ConfigState.h>
#include <decide/ConfigVerdict.h>

namespace masticwall {

/** Says whether sections form a valid preset. Must depend on its argument alone. */
template<class V>
concept SectionsValidator = requires(const V aValidator,
                                     const std::map<std::string, std::string>& aSections)
{
  {
    aValidator(aSections)
    } -> std::same_as<bool>;
};

/**
 * Replays the configuration stream. Log order decides: a record based on an older
 * version than the one in force is void for every reader. Versions only rise; a
 * snapshot is taken only if it is newer than what is known. Not thread-safe.
 */
template<SectionsValidator V>
class ConfigReplay
{
public:
  explicit ConfigReplay(V aValidator)
    : mValidator(std::move(aValidator))
  {
  }

  /** Applies the record at `aOffset` of the log. */
  ConfigVerdict apply(const ConfigRecord& aRecord, std::uint64_t aOffset)
  {
    const auto version = aOffset + 1;
    switch (aRecord.operation) {
      case ConfigOperation::Publish:
        return publish(aRecord, version);
      case ConfigOperation::Switch:
        return switchTo(aRecord, version);
      case ConfigOperation::SectionSnapshot:
        return takeSection(aRecord);
      case ConfigOperation::SwitchSnapshot:
        return takeSwitch(aRecord.key.preset, aRecord.version);
    }
    return ConfigVerdict::Invalid;
  }

  /** Takes a peer's state where it is newer, section by section. */
  void merge(const ConfigState& aState)
  {
    for (const auto& [key, section] : aState.sections) {
      auto& known = mState.sections[key];
      if (section.version > known.version) {
        known = section;
      }
    }
    takeSwitch(aState.inForce, aState.switchVersion);
    mState.version = std::max(mState.version, aState.version);
    mMergedVersion = std::max(mMergedVersion, aState.version);
  }

  const ConfigState& state() const { return mState; }

private:
  ConfigVerdict publish(const ConfigRecord& aRecord, std::uint64_t aVersion)
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
    const bool isInForce = aRecord.key.preset == mState.inForce;
    const std::map<std::string, std::string> alone{ { aRecord.key.section,
                                                      aRecord.text } };
    if (!mValidator(isInForce ? sections : alone)) {
      return ConfigVerdict::Invalid;
    }
    mState.sections[aRecord.key] = { aVersion, aRecord.text };
    mState.version = aVersion;
    return ConfigVerdict::Accepted;
  }

  ConfigVerdict switchTo(const ConfigRecord& aRecord, std::uint64_t aVersion)
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
    mState.inForce = aRecord.key.preset;
    mState.switchVersion = aVersion;
    mState.version = aVersion;
    return ConfigVerdict::Accepted;
  }

  ConfigVerdict takeSection(const ConfigRecord& aRecord)
  {
    auto& known = mState.sections[aRecord.key];
    if (aRecord.version <= known.version) {
      return ConfigVerdict::Known;
    }
    known = { aRecord.version, aRecord.text };
    mState.version = std::max(mState.version, aRecord.version);
    return ConfigVerdict::Accepted;
  }

  ConfigVerdict takeSwitch(const std::string& aPreset, std::uint64_t aVersion)
  {
    if (aVersion <= mState.switchVersion) {
      return ConfigVerdict::Known;
    }
    mState.inForce = aPreset;
    mState.switchVersion = aVersion;
    mState.version = std::max(mState.version, aVersion);
    return ConfigVerdict::Accepted;
  }

  V mValidator;
  ConfigState mState;
  std::uint64_t mMergedVersion = 0; ///< all records up to it are in what a peer gave
};

} // namespace masticwall
