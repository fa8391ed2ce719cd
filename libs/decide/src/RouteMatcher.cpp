#include <core/CallError.h>
#include <decide/RouteMatcher.h>

namespace masticwall {

namespace {

std::string_view
withoutQuery(std::string_view aPath)
{
  return aPath.substr(0, aPath.find('?'));
}

bool
isPrefixAtSegment(std::string_view aPrefix, std::string_view aPath)
{
  if (!aPath.starts_with(aPrefix)) {
    return false;
  }
  return aPath.size() == aPrefix.size() || aPrefix.ends_with('/') ||
         aPath[aPrefix.size()] == '/';
}

} // namespace

Result<const Route*>
matchRoute(const Preset& aPreset, std::string_view aMethod, std::string_view aPath)
{
  const auto path = withoutQuery(aPath);
  const Route* best = nullptr;
  for (const auto& it : aPreset.routes) {
    if (it.method != aMethod || !isPrefixAtSegment(it.path, path)) {
      continue;
    }
    if (best == nullptr || it.path.size() > best->path.size()) {
      best = &it;
    }
  }
  if (best == nullptr) {
    return CallError::NoRoute;
  }
  return best;
}

} // namespace masticwall
