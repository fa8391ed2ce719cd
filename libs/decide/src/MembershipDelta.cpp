#include <algorithm>
#include <decide/MembershipDelta.h>
#include <map>

namespace masticwall {

VmList
apply(const MembershipDelta& aDelta, VmList aList)
{
  std::map<VmKey, Vm> vms;
  for (auto& it : aList) {
    vms.insert_or_assign(keyOf(it), std::move(it));
  }
  for (const auto& it : aDelta.removed) {
    vms.erase(it);
  }
  for (const auto& it : aDelta.changed) {
    vms.insert_or_assign(keyOf(it), it);
  }
  aList.clear();
  for (auto& [key, vm] : vms) {
    aList.push_back(std::move(vm));
  }
  return aList;
}

} // namespace masticwall
