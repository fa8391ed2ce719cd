#include <decide/RouteIndex.h>

namespace masticwall {

namespace {

std::string
routeKey(std::string_view aHost, std::string_view aMethod, std::string_view aPath)
{
  std::string key(aHost);
  key += ' ';
  key += aMethod;
  key += ' ';
  key += aPath;
  return key;
}

std::string_view
withoutQuery(std::string_view aPath)
{
  return aPath.substr(0, aPath.find('?'));
}

/** The next shorter prefix at a segment boundary, e.g. "/a/b", "/a/", "/a", "/", "". */
std::string_view
shorterPrefix(std::string_view aPath)
{
  if (aPath.ends_with('/')) {
    return aPath.substr(0, aPath.size() - 1);
  }
  return aPath.substr(0, aPath.rfind('/') + 1);
}

} // namespace

RouteIndex::RouteIndex(const std::vector<Route>& aRoutes)
{
  for (std::size_t i = 0; i < aRoutes.size(); ++i) {
    const auto& route = aRoutes[i];
    mPositions.emplace(routeKey(route.host, route.method, route.path), i);
    mHasHosts = mHasHosts || !route.host.empty();
    mHasMethods = mHasMethods || !route.method.empty();
  }
}

std::optional<std::size_t>
RouteIndex::find(std::string_view aHost,
                 std::string_view aMethod,
                 std::string_view aPath) const
{
  for (auto path = withoutQuery(aPath); !path.empty(); path = shorterPrefix(path)) {
    if (mHasHosts) {
      if (const auto position = findExact(aHost, aMethod, path)) {
        return position;
      }
    }
    if (const auto position = findExact({}, aMethod, path)) {
      return position;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t>
RouteIndex::findExact(std::string_view aHost,
                      std::string_view aMethod,
                      std::string_view aPrefix) const
{
  auto it =
    mHasMethods ? mPositions.find(routeKey(aHost, aMethod, aPrefix)) : mPositions.end();
  if (it == mPositions.end()) {
    it = mPositions.find(routeKey(aHost, {}, aPrefix));
  }
  return it == mPositions.end() ? std::nullopt : std::optional(it->second);
}

} // namespace masticwall
