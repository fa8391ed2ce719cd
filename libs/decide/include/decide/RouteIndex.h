#pragma once

#include <cstddef>
#include <decide/Route.h>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticwall {

/**
 * Finds routes by host, method and path prefix in time that does not grow with their
 * number.
 */
class RouteIndex
{
public:
  RouteIndex() = default;
  explicit RouteIndex(const std::vector<Route>& aRoutes);

  /** The place of the route with the longest prefix of `aPath`, in the list indexed. */
  std::optional<std::size_t> find(std::string_view aHost,
                                  std::string_view aMethod,
                                  std::string_view aPath) const;

private:
  std::optional<std::size_t> findExact(std::string_view aHost,
                                       std::string_view aMethod,
                                       std::string_view aPrefix) const;

  std::unordered_map<std::string, std::size_t> mPlaces; ///< by host, method, path
  bool mHasHosts = false;                               ///< some route names its host
  bool mHasMethods = false;                             ///< some route names its method
};

} // namespace masticwall
