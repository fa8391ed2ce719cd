#pragma once

#include <map>
#include <settings/PresetParse.h>
#include <string>
#include <string_view>

namespace masticwall {

/** The sections of a preset, by name: "general" and "service/NAME". */
using PresetSections = std::map<std::string, std::string>;

/** Reads a whole preset as operators write it (TOML). Reports every problem at once. */
PresetParse
parsePreset(std::string_view aText);

/** Reads a preset from its sections; a key path begins with its section's name. */
PresetParse
parseSections(const PresetSections& aSections);

/**
 * Splits a valid preset into its sections, so that a change of one service makes one
 * small record. The text must have passed parsePreset().
 */
PresetSections
splitPreset(std::string_view aText);

} // namespace masticwall
