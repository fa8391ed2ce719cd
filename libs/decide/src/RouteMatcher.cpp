#include <core/CallError.h>
#include <decide/RouteMatcher.h>

namespace masticwall {

Result<const Route*>
matchRoute(const Preset& aPreset,
           std::string_view aHost,
           std::string_view aMethod,
           std::string_view aPath)
{
  const auto position = aPreset.routeIndex.find(aHost, aMethod, aPath);
  if (!position.has_value()) {
    return CallError::NoRoute;
  }
  return &aPreset.routes[*position];
}

} // namespace masticwall
