#include "PresetReader.h"
#include "Toml.h"
#include <decide/SectionKey.h>
#include <settings/PresetAssembler.h>
#include <settings/PresetFile.h>
#include <sstream>

namespace masticwall {

namespace {

std::string
toText(const toml::table& aTable)
{
  std::ostringstream text;
  text << toml::toml_formatter(aTable) << '\n';
  return text.str();
}

} // namespace

PresetParseResult
parsePreset(std::string_view aText)
{
  PresetParseResult result;
  readPresetText(aText, "", result);
  if (result.preset.name.empty() && result.problems.empty()) {
    result.problems.push_back({ "name", 0, "a non-empty string" });
  }
  reportDuplicateRoutes(result.preset.routes, result.problems);
  result.preset.indexRoutes();
  return result;
}

PresetParseResult
parseSections(const PresetSections& aSections)
{
  return PresetAssembler().assemble(aSections);
}

PresetSections
splitPreset(std::string_view aText)
{
  PresetSections sections;
  const auto parsed = toml::parse(aText);
  if (!parsed) {
    return sections;
  }
  toml::table general = parsed.table();
  if (const auto* const services = parsed.table()["service"].as_array()) {
    for (const auto& it : *services) {
      const auto name = (*it.as_table())["name"].value_or(std::string());
      toml::table section;
      section.insert("service", toml::array{ *it.as_table() });
      sections[kServiceSectionPrefix + name] = toText(section);
    }
  }
  general.erase("service");
  sections[kGeneralSection] = toText(general);
  return sections;
}

} // namespace masticwall
