#pragma once

#include <core/Result.h>
#include <entry/Backplane.h>
#include <entry/Dialect.h>
#include <entry/EntryTables.h>
#include <functional>
#include <memory>
#include <runtime/TimerService.h>

namespace masticwall {

/**
 * The workers of an entry process over their shared tables: takes calls from callers,
 * decides, sends them to upstreams and returns answers. What it knows of presets and VMs
 * is put into its tables by its owner. Made and used on the main thread.
 */
class EntryProcess
{
public:
  /** Told once when the process may end, with its exit code. */
  using Ended = std::function<void(int)>;

  /** Starts to listen. Fails with the system's error if a port can't be listened on. */
  static Result<std::unique_ptr<EntryProcess>> create(TimerService& aTimers,
                                                      const EntrySettings& aSettings,
                                                      const DialectTable& aDialect,
                                                      Ended aEnded);
  ~EntryProcess();

  EntryTables& tables();

  /** To be called once, before a preset is put into the tables. */
  void setBackplane(Backplane aBackplane);

  /** The preset or the membership in the tables has changed. */
  void onTablesChanged();

  /**
   * Begins to leave: health says so, callers' connections end with their answers, and
   * accepting goes on for the notice period. Called again, it ends the notice period at
   * once. Calls in flight finish, up to the longest drain (exit code 3 if cut there).
   */
  void requestStop();

private:
  struct Impl;
  explicit EntryProcess(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
