#pragma once

#include <algorithm>
#include <decide/SectionKey.h>
#include <decide/SectionState.h>
#include <map>

namespace masticwall {

/** The whole configuration after a prefix of the log. */
struct ConfigState
{
  std::uint64_t version = 0; ///< of the newest accepted record
  std::map<SectionKey, SectionState> sections;
  std::string inForce;             ///< the preset in force; empty before the first
  std::uint64_t switchVersion = 0; ///< the version that put it in force

  /** The version of the preset in force; rises with each change of what is in force. */
  std::uint64_t versionInForce() const
  {
    auto newest = switchVersion;
    for (const auto& [key, state] : sections) {
      if (key.preset == inForce) {
        newest = std::max(newest, state.version);
      }
    }
    return newest;
  }

  /** The sections of preset `aPreset`, by section name. */
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
