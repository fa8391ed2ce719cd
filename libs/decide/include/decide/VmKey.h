#pragma once

#include <compare>
#include <decide/Vm.h>
#include <string>

namespace masticwall {

/** Identifies a VM in a list. Lists are sorted by it. */
struct VmKey
{
  VmRole role = VmRole::Upstream;
  std::string name;

  auto operator<=>(const VmKey&) const = default;
};

inline VmKey
keyOf(const Vm& aVm)
{
  return { aVm.role, aVm.name };
}

} // namespace masticwall
