#pragma once

#include <settings/PresetParseResult.h>
#include <string>
#include <string_view>

namespace masticwall {

/**
 * Parses the TOML text of a preset or of one of its sections, and adds its content and
 * problems to `aResult`. The key paths of the problems are prefixed with `aPath`.
 */
void
readPresetText(std::string_view aText,
               const std::string& aPath,
               PresetParseResult& aResult);

/** Reports each method and path that more than one route has. */
void
reportDuplicateRoutes(const std::vector<Route>& aRoutes,
                      std::vector<PresetProblem>& aProblems);

} // namespace masticwall
