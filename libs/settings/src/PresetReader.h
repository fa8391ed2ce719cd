#pragma once

#include <settings/PresetParse.h>
#include <string>
#include <string_view>

namespace masticwall {

/** Reads the TOML text of a preset, or of a part of one, into `aParse`. */
void
readPresetText(std::string_view aText, const std::string& aPath, PresetParse& aParse);

/** Notes each method and path that more than one route has. */
void
checkRoutes(const std::vector<Route>& aRoutes, std::vector<PresetProblem>& aProblems);

} // namespace masticwall
