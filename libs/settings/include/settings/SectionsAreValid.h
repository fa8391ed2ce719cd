#pragma once

#include <settings/PresetFile.h>

namespace masticwall {

/** The SectionsValidator of presets: depends on the text and this version's rules alone.
 */
struct SectionsAreValid
{
  bool operator()(const PresetSections& aSections) const
  {
    return parseSections(aSections).isValid();
  }
};

} // namespace masticwall
