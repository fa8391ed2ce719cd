#pragma once

#include <core/Result.h>
#include <decide/Preset.h>
#include <string_view>

namespace masticwall {

/**
 * The route of a call: the longest path prefix with the call's host and method, where
 * the route names them. Fails with
 * CallError::NoRoute. The pointer lives as long as `aPreset`.
 */
Result<const Route*>
matchRoute(const Preset& aPreset,
           std::string_view aHost,
           std::string_view aMethod,
           std::string_view aPath);

} // namespace masticwall
