#pragma once

#include <core/Result.h>
#include <functional>
#include <memory>
#include <settings/ControlSettings.h>

namespace masticwall {

/**
 * The control process as a library: replays the configuration log, polls the VM list,
 * records order claims on the log, probes the health of upstreams, and serves the feed to
 * the entry process of its VM. Create and use it on the main thread, which must run a Qt
 * event loop.
 */
class ControlDaemon
{
public:
  /** Called once, with the exit code, when the process may end. */
  using ExitCallback = std::function<void(int)>;

  /**
   * Opens the ports and starts the worker threads. Fails with the system's error if
   * listening on a port fails.
   */
  static Result<std::unique_ptr<ControlDaemon>> create(const ControlSettings& aSettings,
                                                       ExitCallback aOnExit);
  ~ControlDaemon();

  /**
   * Starts a graceful shutdown: notifies the other VMs, and ends the process once its
   * entry process has stopped requesting the feed and all claims and releases are
   * settled, after 120 s at the latest. A second call ends the process at once.
   */
  void requestStop();

  /** On SIGHUP. Has no effect: flags and environment variables can't be reloaded. */
  void reload() {}

private:
  struct Impl;
  explicit ControlDaemon(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
