#include <decide/RouteIndex.h>

namespace masticwall {

namespace {

std::string
keyOf(std::string_view aMethod, std::string_view aPath)
{
  std::string key(aMethod);
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
    mPlaces.emplace(keyOf(aRoutes[i].method, aRoutes[i].path), i);
  }
}

std::optional<std::size_t>
RouteIndex::find(std::string_view aMethod, std::string_view aPath) const
{
  for (auto path = withoutQuery(aPath); !path.empty(); path = shorten(path)) {
    const auto it = mPlaces.find(keyOf(aMethod, path));
    if (it != mPlaces.end()) {
      return it->second;
    }
  }
  return std::nullopt;
}

} // namespace masticwall
