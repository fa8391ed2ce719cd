#pragma once

#include <cstddef>
#include <decide/Route.h>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticwall {

/**
 * Hash index of routes by host, method and path prefix. The time of a look-up depends
 * on the length of the path, not on the number of routes. Thread-safe once built.
 */
class RouteIndex
{
public:
  RouteIndex() = default;
  explicit RouteIndex(const std::vector<Route>& aRoutes);

  /**
   * Returns the position in the indexed list of the route with the longest path prefix.
   * Among routes of the same prefix, one for this host goes before one for any host, and
   * then one for this method before one for any method.
   */
  std::optional<std::size_t> find(std::string_view aHost,
                                  std::string_view aMethod,
                                  std::string_view aPath) const;

private:
  std::optional<std::size_t> findExact(std::string_view aHost,
                                       std::string_view aMethod,
                                       std::string_view aPrefix) const;

  std::unordered_map<std::string, std::size_t> mPositions; ///< by host, method, path
  bool mHasHosts = false;                                  ///< some route sets a host
  bool mHasMethods = false;                                ///< some route sets a method
};

} // namespace masticwall
