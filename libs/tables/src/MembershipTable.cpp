#include <algorithm>
#include <tables/MembershipTable.h>
#include <utility>

namespace masticwall {

bool
MembershipTable::putList(const VmList& aList)
{
  std::scoped_lock lock(mMutex);
  if (aList == mList) {
    return false;
  }
  mList = aList;
  ++mRevision;
  return true;
}

bool
MembershipTable::markLeaving(const std::string& aVm, const std::string& aInstance)
{
  std::scoped_lock lock(mMutex);
  auto& marked = mLeavingInstances[aVm];
  if (marked == aInstance) {
    return false;
  }
  marked = aInstance;
  ++mRevision;
  return true;
}

VmList
MembershipTable::current() const
{
  std::scoped_lock lock(mMutex);
  auto list = mList;
  for (auto& it : list) {
    const auto marked = mLeavingInstances.find(it.name);
    it.leaving =
      it.leaving || (marked != mLeavingInstances.end() && marked->second == it.instance);
  }
  return list;
}

bool
MembershipTable::putEvacuated(const DataCentreNames& aDataCentres)
{
  std::scoped_lock lock(mMutex);
  return std::exchange(mEvacuated, aDataCentres) != aDataCentres;
}

DataCentreNames
MembershipTable::evacuated() const
{
  std::scoped_lock lock(mMutex);
  return mEvacuated;
}

std::optional<Vm>
MembershipTable::findMasticwallVm(const std::string& aName) const
{
  std::scoped_lock lock(mMutex);
  const auto it = std::find_if(mList.begin(), mList.end(), [&](const Vm& aVm) {
    return aVm.role == VmRole::Masticwall && aVm.name == aName;
  });
  return it == mList.end() ? std::nullopt : std::optional(*it);
}

std::uint64_t
MembershipTable::revision() const
{
  std::scoped_lock lock(mMutex);
  return mRevision;
}

} // namespace masticwall
