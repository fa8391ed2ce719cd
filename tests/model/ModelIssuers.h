#pragma once

#include <decide/PermitIssuers.h>
#include <string>

namespace masticwall::model {

/** The VMs that issue permits for the upstream of the model, of `aVms` in all. */
inline VmList
issuersAmong(int aVms)
{
  VmList members;
  for (int i = 0; i < aVms; ++i) {
    Vm vm;
    vm.name = "front-" + std::to_string(i);
    vm.role = VmRole::Masticwall;
    members.push_back(vm);
  }
  UpstreamAddress upstream;
  upstream.name = "i-1";
  return permitIssuersOf(upstream, members);
}

inline int
indexOfVm(const Vm& aVm)
{
  return std::stoi(aVm.name.substr(sizeof("front-") - 1));
}

} // namespace masticwall::model
