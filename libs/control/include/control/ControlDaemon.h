#pragma once

#include <core/Result.h>
#include <functional>
#include <memory>
#include <settings/ControlSettings.h>

namespace masticwall {

/**
 * The control process as a library: follows the configuration and the VM list, keeps
 * order claims on the log, measures upstreams, and feeds the entry process of its VM.
 * Made and used on the main thread, which must run a Qt event loop.
 */
class ControlDaemon
{
public:
  /** Told once when the process may end, with its exit code. */
  using ExitCallback = std::function<void(int)>;

  /** Starts to listen. Fails with the system's error if a port can't be listened on. */
  static Result<std::unique_ptr<ControlDaemon>> create(const ControlSettings& aSettings,
                                                       ExitCallback aOnExit);
  ~ControlDaemon();

  /**
   * Begins to leave: peers are told, and the process ends once its entry process no
   * longer asks for news and its releases are on the log. Called again, it ends at once.
   */
  void requestStop();

  /** SIGHUP: has no effect, because the settings are flags and environment variables. */
  void reload() {}

private:
  struct Impl;
  explicit ControlDaemon(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
