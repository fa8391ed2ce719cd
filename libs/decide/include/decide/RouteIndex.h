#pragma once

#include <cstddef>
#include <decide/Route.h>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticwall {

/** Finds routes by method and path prefix in time that does not grow with their number.
 */
class RouteIndex
{
public:
  RouteIndex() = default;
  explicit RouteIndex(const std::vector<Route>& aRoutes);

  /** The place of the route with the longest prefix of `aPath`, in the list indexed. */
  std::optional<std::size_t> find(std::string_view aMethod, std::string_view aPath) const;

private:
  std::unordered_map<std::string, std::size_t> mPlaces; ///< by method, space, path
};

} // namespace masticwall
