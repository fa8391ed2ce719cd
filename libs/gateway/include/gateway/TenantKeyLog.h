#pragma once

#include <decide/Preset.h>

namespace masticwall {

/** Logs what is wrong with the keys of a preset's tenants, by the tenants' names. */
void
logTenantKeyProblems(const Preset& aPreset);

} // namespace masticwall
