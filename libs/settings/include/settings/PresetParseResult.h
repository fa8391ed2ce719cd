#pragma once

#include <decide/Preset.h>
#include <settings/PresetProblem.h>
#include <vector>

namespace masticwall {

/** The result of parsing a preset, with all problems that were found. */
struct PresetParseResult
{
  Preset preset;
  std::vector<PresetProblem> problems;

  bool isValid() const { return problems.empty(); }
};

} // namespace masticwall
