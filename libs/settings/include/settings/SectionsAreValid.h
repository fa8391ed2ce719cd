#pragma once

#include <memory>
#include <settings/PresetAssembler.h>

namespace masticwall {

/**
 * The SectionsValidator of presets: depends on the text and this version's rules alone.
 * Keeps what it has read. Not thread-safe.
 */
class SectionsAreValid
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
