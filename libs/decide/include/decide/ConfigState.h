#pragma once

#include <algorithm>
#include <decide/SectionKey.h>
#include <decide/SectionState.h>
#include <map>

namespace masticwall {

/** The configuration after replaying the log up to some record. */
struct ConfigState
{
  std::uint64_t version = 0; ///< of the last accepted record
  std::map<SectionKey, SectionState> sections;
  std::string activePreset; ///< name of the active preset; empty before the first switch
  std::uint64_t switchVersion = 0; ///< version of the switch that activated it

  /** The version of the active preset: the highest of its sections and of the switch. */
  std::uint64_t activeVersion() const
  {
    auto newest = switchVersion;
    for (const auto& [key, state] : sections) {
      if (key.preset == activePreset) {
        newest = std::max(newest, state.version);
      }
    }
    return newest;
  }

  /** The texts of the sections of `aPreset`, by section name. */
  std::map<std::string, std::string> sectionsOf(const std::string& aPreset) const
  {
    std::map<std::string, std::string> texts;
    for (const auto& [key, state] : sections) {
      if (key.preset == aPreset) {
        texts[key.section] = state.text;
      }
    }
    return texts;
  }
};

} // namespace masticwall
