#pragma once

#include <core/Result.h>
#include <functional>
#include <memory>
#include <settings/EntrySettings.h>

namespace masticwall {

/**
 * The entry process as a library: takes calls from callers, decides, sends them to
 * upstreams and returns answers. Made and used on the main thread, which must run a Qt
 * event loop; its workers have threads of their own.
 */
class EntryDaemon
{
public:
  /** Told once when the process may end, with its exit code. */
  using Ended = std::function<void(int)>;

  /** Starts to listen. Fails with the system's error if a port can't be listened on. */
  static Result<std::unique_ptr<EntryDaemon>> create(const EntrySettings& aSettings,
                                                     Ended aEnded);
  ~EntryDaemon();

  /**
   * Begins to leave: health says so, callers' connections end with their answers, and
   * accepting goes on for the notice period. Called again, it ends the notice period at
   * once. Calls in flight finish, up to the longest drain (exit code 3 if cut there).
   */
  void requestStop();

  /** SIGHUP: has no effect, because the settings are flags and environment variables. */
  void reload();

private:
  struct Impl;
  explicit EntryDaemon(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
