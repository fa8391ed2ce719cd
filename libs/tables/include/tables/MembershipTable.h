#pragma once

#include <core/OrderedMutex.h>
#include <decide/DataCentreNames.h>
#include <decide/Vm.h>
#include <map>
#include <optional>

namespace masticwall {

/**
 * The platform's VM list, the instances that have announced their shutdown, and the
 * evacuated data centres. An instance that shuts down counts as leaving even if the list
 * does not mark it so. Thread-safe; lock level Membership.
 */
class MembershipTable
{
public:
  /** Replaces the list; true if it differs from the previous one. */
  bool putList(const VmList& aList);

  /** Marks an instance as leaving; true if it was not marked before. */
  bool markLeaving(const std::string& aVm, const std::string& aInstance);

  /** The list, with `leaving` also set for the instances that were marked. */
  VmList current() const;

  /** Replaces the evacuated data centres; true if they differ from the previous ones. No
   * change of the list. */
  bool putEvacuated(const DataCentreNames& aDataCentres);
  DataCentreNames evacuated() const;

  /**
   * The list's entry of the masticwall VM `aName`; std::nullopt if it is not listed.
   * Unlike in current(), the marks of markLeaving() are not applied.
   */
  std::optional<Vm> findMasticwallVm(const std::string& aName) const;

  /** Incremented by each change of the list or of the marks. */
  std::uint64_t revision() const;

private:
  mutable OrderedMutex mMutex{ LockLevel::Membership };
  VmList mList;
  std::map<std::string, std::string> mLeavingInstances; ///< by VM name
  DataCentreNames mEvacuated;
  std::uint64_t mRevision = 0;
};

} // namespace masticwall
