#include <algorithm>
#include <decide/LargestTenants.h>
#include <limits>

namespace masticwall {

namespace {

double
rateOf(const Tenant& aTenant)
{
  return aTenant.perSecond > 0.0 ? aTenant.perSecond
                                 : std::numeric_limits<double>::infinity();
}

} // namespace

LargestTenants::LargestTenants(const std::vector<Tenant>& aTenants)
{
  std::vector<const Tenant*> byRate;
  byRate.reserve(aTenants.size());
  for (const auto& it : aTenants) {
    byRate.push_back(&it);
  }
  std::stable_sort(
    byRate.begin(), byRate.end(), [](const Tenant* aLeft, const Tenant* aRight) {
      return rateOf(*aLeft) > rateOf(*aRight);
    });
  byRate.resize(std::min(byRate.size(), kMaxTenants));
  for (const auto* const it : byRate) {
    mNames.insert(it->name);
  }
}

std::string_view
LargestTenants::labelOf(const Tenant& aTenant) const
{
  const auto it = mNames.find(aTenant.name);
  return it == mNames.end() ? std::string_view("other") : std::string_view(*it);
}

} // namespace masticwall
