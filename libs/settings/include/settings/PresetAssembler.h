#pragma once

#include <map>
#include <settings/PresetFile.h>
#include <string>

namespace masticwall {

/**
 * Parses presets from their sections and caches the result of each section, so that after
 * a change only the changed sections are parsed again. Not thread-safe.
 */
class PresetAssembler
{
public:
  /** Returns the same as parseSections(). */
  PresetParseResult assemble(const PresetSections& aSections);

private:
  struct CachedSection
  {
    std::string text;
    PresetParseResult result;
  };

  const PresetParseResult& parseSection(const std::string& aName,
                                        const std::string& aText);

  std::map<std::string, CachedSection> mCachedSections; ///< by section name
};

} // namespace masticwall
