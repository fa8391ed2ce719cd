#include <algorithm>
#include <decide/SourceOrder.h>
#include <map>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace masticwall {

namespace {

std::uint64_t
hashOf(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

bool
isBefore(const Vm& aLeft, const Vm& aRight)
{
  const auto left = hashOf(aLeft.name);
  const auto right = hashOf(aRight.name);
  return left != right ? left < right : aLeft.name < aRight.name;
}

} // namespace

VmList
sourcesOf(const std::string& aOwnVm, const VmList& aVms)
{
  std::map<std::string, VmList> byRegion;
  const Vm* own = nullptr;
  for (const auto& it : aVms) {
    if (it.role == VmRole::Masticwall) {
      byRegion[it.region].push_back(it);
      own = it.name == aOwnVm ? &it : own;
    }
  }
  if (own == nullptr) {
    return {};
  }
  VmList ahead;
  for (const auto& it : byRegion[own->region]) {
    if (isBefore(it, *own)) {
      ahead.push_back(it);
    }
  }
  if (ahead.empty()) {
    for (const auto& [region, vms] : byRegion) {
      const auto first = std::min_element(vms.begin(), vms.end(), isBefore);
      if (isBefore(*first, *own)) {
        ahead.push_back(*first);
      }
    }
  }
  std::sort(ahead.begin(), ahead.end(), isBefore);
  return ahead;
}

} // namespace masticwall
