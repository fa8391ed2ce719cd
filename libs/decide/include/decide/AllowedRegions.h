#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace masticwall {

/**
 * The regions whose upstreams may run a call: any, or those that are named. No name at
 * all means nowhere, which is what is left of two restrictions that exclude each other.
 *
 * The load that this answers: calls of customers whose data must not leave a region, on
 * VMs and upstreams that serve other customers as well.
 */
class AllowedRegions
{
public:
  /** Any region. */
  AllowedRegions() = default;

  /** These regions only; none: nowhere. */
  static AllowedRegions only(std::vector<std::string> aNames)
  {
    AllowedRegions regions;
    regions.mNames = std::move(aNames);
    return regions;
  }

  bool isAny() const { return !mNames.has_value(); }

  bool allows(const std::string& aRegion) const
  {
    return isAny() || std::find(mNames->begin(), mNames->end(), aRegion) != mNames->end();
  }

  /** The regions that both allow. */
  AllowedRegions intersectedWith(const AllowedRegions& aOther) const
  {
    if (isAny()) {
      return aOther;
    }
    auto names = *mNames;
    std::erase_if(names, [&](const std::string& aName) { return !aOther.allows(aName); });
    return only(std::move(names));
  }

  bool operator==(const AllowedRegions&) const = default;

private:
  std::optional<std::vector<std::string>> mNames; ///< empty: any
};

} // namespace masticwall
