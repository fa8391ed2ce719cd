#pragma once

#include "CtlSettings.h"
#include "VmStatus.h"
#include <QByteArray>
#include <core/Result.h>
#include <decide/Vm.h>
#include <memory>
#include <vector>

namespace masticwall {

/**
 * Queries and drains masticwall VMs over their operator ports. Calls block, in a Qt event
 * loop, until the VMs reply or a request times out. Lives on one thread.
 */
class VmSession
{
public:
  explicit VmSession(const CtlSettings& aSettings);
  ~VmSession();

  /** Fetches the VM list; returns the masticwall VMs on it. */
  Result<VmList> vms();

  /**
   * Queries all VMs in parallel; returns their statuses, sorted by name. `isAnswering` is
   * false for a VM that does not reply in time.
   */
  Result<std::vector<VmStatus>> statuses();

  /** Fetches the state dump of one VM's control process, as JSON. */
  Result<QByteArray> state(const std::string& aVm);

  /** Requests the graceful shutdown of a VM. */
  Result<void> drain(const std::string& aVm);

private:
  struct Impl;
  Result<Vm> find(const std::string& aVm);

  CtlSettings mSettings;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
