#pragma once

#include <core/OrderedMutex.h>
#include <decide/Vm.h>
#include <map>
#include <optional>

namespace masticwall {

/**
 * The platform's VM list with what was learnt beside it: instances that said they leave
 * stay leaving, whatever the list says. Thread-safe; lock level Membership.
 */
class MembershipTable
{
public:
  /** Takes a list; true if anything changed. */
  bool putList(const VmList& aList);

  /** An instance said that it leaves; true if that is new. */
  bool markLeaving(const std::string& aVm, const std::string& aInstance);

  /** The list, with `leaving` set as known. */
  VmList current() const;

  /** The VM of masticwall called `aName`, or nothing. */
  std::optional<Vm> findMasticwall(const std::string& aName) const;

  /** Rises by one with every change. */
  std::uint64_t revision() const;

private:
  mutable OrderedMutex mMutex{ LockLevel::Membership };
  VmList mList;
  std::map<std::string, std::string> mLeaving; ///< VM to the instance that leaves
  std::uint64_t mRevision = 0;
};

} // namespace masticwall
