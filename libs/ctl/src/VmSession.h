#pragma once

#include "CtlSettings.h"
#include "VmStatus.h"
#include <QByteArray>
#include <core/Result.h>
#include <decide/Vm.h>
#include <memory>
#include <vector>

namespace masticwall {

/** Questions to the VMs of masticwall. Blocks while it waits. */
class VmSession
{
public:
  explicit VmSession(const CtlSettings& aSettings);
  ~VmSession();

  /** The VMs of masticwall on the VM list. */
  Result<VmList> vms();

  /** Asks every VM at once; those that do not answer in time are marked so. */
  Result<std::vector<VmStatus>> statuses();

  /** The state dump of one VM's control process. */
  Result<QByteArray> state(const std::string& aVm);

  /** Asks a VM to leave. */
  Result<void> drain(const std::string& aVm);

private:
  struct Impl;
  Result<Vm> find(const std::string& aVm);

  CtlSettings mSettings;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
