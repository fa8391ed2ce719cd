#pragma once

#include <decide/Preset.h>
#include <settings/PresetProblem.h>
#include <vector>

namespace masticwall {

/** A preset that was read, and everything wrong with it. */
struct PresetParse
{
  Preset preset;
  std::vector<PresetProblem> problems;

  bool isValid() const { return problems.empty(); }
};

} // namespace masticwall
