#pragma once

#include <core/Result.h>
#include <decide/Preset.h>
#include <string_view>

namespace masticwall {

/**
 * Finds the route of a call: the one with the longest prefix of `aPath`, among those for
 * the call's host and method or for any. Fails with CallError::NoRoute. The pointer is
 * valid as long as `aPreset`.
 */
Result<const Route*>
matchRoute(const Preset& aPreset,
           std::string_view aHost,
           std::string_view aMethod,
           std::string_view aPath);

} // namespace masticwall
