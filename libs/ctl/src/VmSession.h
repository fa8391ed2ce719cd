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

  /**
   * Fetches the VM list; returns the masticwall VMs on it. Fails with
   * CtlError::VmListUnreachable.
   */
  Result<VmList> vms();

  /**
   * Queries all masticwall VMs in parallel; returns their statuses, sorted by name.
   * `hasReplied` is false for a VM whose request failed or took longer than 1.5 s. Fails
   * with CtlError::VmListUnreachable.
   */
  Result<std::vector<VmStatus>> statuses();

  /** Fetches the state dump of a VM's control process, as JSON. Fails with a CtlError. */
  Result<QByteArray> state(const std::string& aVm);

  /** Requests the graceful shutdown of a VM. Fails with a CtlError. */
  Result<void> drain(const std::string& aVm);

private:
  struct Impl;
  Result<Vm> find(const std::string& aVm);

  CtlSettings mSettings;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
