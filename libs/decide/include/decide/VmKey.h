#pragma once

#include <compare>
#include <decide/Vm.h>
#include <string>

namespace masticwall {

/** Tells the VMs of a list apart. Lists are kept in its order. */
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
