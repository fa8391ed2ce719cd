#include <decide/RouteIndex.h>

namespace masticwall {

namespace {

std::string
keyOf(std::string_view aHost, std::string_view aMethod, std::string_view aPath)
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

/** The next shorter prefix at a segment boundary: "/a/b", "/a/", "/a", "/", "". */
std::string_view
shorten(std::string_view aPath)
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
    mPlaces.emplace(keyOf(route.host, route.method, route.path), i);
    mHasHosts = mHasHosts || !route.host.empty();
    mHasMethods = mHasMethods || !route.method.empty();
  }
}

std::optional<std::size_t>
RouteIndex::find(std::string_view aHost,
                 std::string_view aMethod,
                 std::string_view aPath) const
{
  for (auto path = withoutQuery(aPath); !path.empty(); path = shorten(path)) {
    if (mHasHosts) {
      if (const auto place = findExact(aHost, aMethod, path)) {
        return place;
      }
    }
    if (const auto place = findExact({}, aMethod, path)) {
      return place;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t>
RouteIndex::findExact(std::string_view aHost,
                      std::string_view aMethod,
                      std::string_view aPrefix) const
{
  auto it = mHasMethods ? mPlaces.find(keyOf(aHost, aMethod, aPrefix)) : mPlaces.end();
  if (it == mPlaces.end()) {
    it = mPlaces.find(keyOf(aHost, {}, aPrefix));
  }
  return it == mPlaces.end() ? std::nullopt : std::optional(it->second);
}

} // namespace masticwall
