#pragma once

#include <core/Result.h>
#include <functional>
#include <memory>
#include <settings/EntrySettings.h>

namespace masticwall {

/**
 * A complete entry process that is fed by this VM's control process: accepts calls,
 * admits and balances them over the upstreams, and returns the responses. Created and
 * used on the main thread, which must run a Qt event loop; its workers run on their own
 * threads.
 */
class EntryDaemon
{
public:
  /** Called once with the exit code, when the process may exit. */
  using ExitCallback = std::function<void(int)>;

  /** Starts listening. Fails with the system error if a port can't be bound. */
  static Result<std::unique_ptr<EntryDaemon>> create(const EntrySettings& aSettings,
                                                     ExitCallback aOnExit);
  ~EntryDaemon();

  /**
   * Starts a graceful shutdown: health checks report it, callers' connections are closed
   * after their next response, and new connections are accepted until the notice period
   * ends. A second call ends the notice period at once. Calls in flight may finish until
   * the longest drain time; if any are left then, the exit code is 3.
   */
  void requestStop();

  /** On SIGHUP. Does nothing: settings are flags and environment variables, which can't
   * change at run time. */
  void reload();

private:
  struct Impl;
  explicit EntryDaemon(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
