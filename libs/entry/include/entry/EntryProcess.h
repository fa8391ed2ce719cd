#pragma once

#include <core/Result.h>
#include <entry/ControlPlane.h>
#include <entry/Dialect.h>
#include <entry/EntryTables.h>
#include <functional>
#include <memory>
#include <runtime/TimerService.h>

namespace masticwall {

/**
 * The workers of an entry process and the tables that they share: accepts calls, admits
 * and balances them over the upstreams, and returns the responses. Its owner puts presets
 * and the VM list into the tables. Created and used on the main thread; the workers run
 * on their own threads.
 */
class EntryProcess
{
public:
  /** Called once with the exit code, when the process may exit. */
  using ExitCallback = std::function<void(int)>;

  /** Starts listening. Fails with the system error if a port can't be bound. */
  static Result<std::unique_ptr<EntryProcess>> create(TimerService& aTimers,
                                                      const EntrySettings& aSettings,
                                                      const DialectTable& aDialect,
                                                      ExitCallback aOnExit);
  ~EntryProcess();

  EntryTables& tables();

  /** Must be called once, before the first preset is put into the tables. */
  void setControlPlane(ControlPlane aControlPlane);

  /** To be called after the preset or the VM list in the tables has changed. */
  void onTablesChanged();

  /**
   * Starts a graceful shutdown: health checks report it, callers' connections are closed
   * after their next response, and new connections are accepted until the notice period
   * ends. A second call ends the notice period at once; a shutdown that the VM list or an
   * operator has started does not count as the first. Calls in flight may finish until
   * the longest drain time; if any are left then, the exit code is 3.
   */
  void requestStop();

private:
  struct Impl;
  explicit EntryProcess(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
