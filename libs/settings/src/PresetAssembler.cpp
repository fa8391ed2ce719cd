#include "PresetReader.h"
#include <decide/SectionKey.h>
#include <settings/PresetAssembler.h>

namespace masticwall {

namespace {

/** Reports a service in section "general", and any but service x in "service/x". */
void
checkServicesOfSection(const std::string& aName, PresetParseResult& aResult)
{
  const std::string prefix(kServiceSectionPrefix);
  const auto& services = aResult.preset.services;
  if (aName == kGeneralSection) {
    if (!services.empty()) {
      aResult.problems.push_back({ aName, 0, "no service in this section" });
    }
    return;
  }
  const bool isOnlyNamedService =
    services.size() == 1 && aName == prefix + services[0].name;
  if (!isOnlyNamedService) {
    aResult.problems.push_back({ aName, 0, "only the service in the section's name" });
  }
}

void
append(PresetParseResult& aResult, const PresetParseResult& aPart)
{
  auto& preset = aResult.preset;
  const auto& part = aPart.preset;
  preset.services.insert(
    preset.services.end(), part.services.begin(), part.services.end());
  preset.routes.insert(preset.routes.end(), part.routes.begin(), part.routes.end());
  aResult.problems.insert(
    aResult.problems.end(), aPart.problems.begin(), aPart.problems.end());
}

} // namespace

PresetParseResult
PresetAssembler::assemble(const PresetSections& aSections)
{
  PresetParseResult result;
  const auto general = aSections.find(kGeneralSection);
  if (general != aSections.end()) {
    result = parseSection(general->first, general->second);
  }
  for (const auto& [name, text] : aSections) {
    if (name != kGeneralSection) {
      append(result, parseSection(name, text));
    }
  }
  reportDuplicateRoutes(result.preset.routes, result.problems);
  result.preset.indexRoutes();
  return result;
}

const PresetParseResult&
PresetAssembler::parseSection(const std::string& aName, const std::string& aText)
{
  auto& cached = mCachedSections[aName];
  // A new cache entry also has an empty text, so empty sections are parsed each time.
  if (cached.text != aText || cached.text.empty()) {
    cached.text = aText;
    cached.result = {};
    readPresetText(aText, aName, cached.result);
    checkServicesOfSection(aName, cached.result);
  }
  return cached.result;
}

} // namespace masticwall
