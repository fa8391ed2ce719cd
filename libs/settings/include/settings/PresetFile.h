#pragma once

#include <map>
#include <settings/PresetParseResult.h>
#include <string>
#include <string_view>

namespace masticwall {

/** The sections of a preset, by name: "general" and "service/NAME". */
using PresetSections = std::map<std::string, std::string>;

/** Parses a whole preset, as operators write it (TOML). Reports all problems together. */
PresetParseResult
parsePreset(std::string_view aText);

/** Parses a preset from its sections; a problem's key path begins with its section. */
PresetParseResult
parseSections(const PresetSections& aSections);

/**
 * Splits a valid preset into its sections, so that a change of one service is one small
 * log record. The text must be valid for parsePreset(); the result is empty if the text
 * is not TOML.
 */
PresetSections
splitPreset(std::string_view aText);

} // namespace masticwall
