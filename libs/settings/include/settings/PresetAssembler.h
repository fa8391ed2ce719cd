#pragma once

#include <map>
#include <settings/PresetFile.h>
#include <string>

namespace masticwall {

/**
 * Reads presets from their sections and keeps what it has read, so that a change of one
 * section costs the reading of one. Gives what parseSections() gives. Not thread-safe.
 */
class PresetAssembler
{
public:
  PresetParse assemble(const PresetSections& aSections);

private:
  struct Fragment
  {
    std::string text;
    PresetParse parse;
  };

  const PresetParse& read(const std::string& aName, const std::string& aText);

  std::map<std::string, Fragment> mFragments; ///< by section
};

} // namespace masticwall
