#pragma once

#include <memory>
#include <settings/PresetAssembler.h>

namespace masticwall {

/**
 * A SectionsValidator for presets. The result depends only on the text and on the rules
 * of this release, so that all readers of the configuration log accept the same records.
 * Copies share a cache of parsed sections. Not thread-safe.
 */
class PresetSectionsValidator
{
public:
  bool operator()(const PresetSections& aSections) const
  {
    return mAssembler->assemble(aSections).isValid();
  }

private:
  std::shared_ptr<PresetAssembler> mAssembler = std::make_shared<PresetAssembler>();
};

} // namespace masticwall
