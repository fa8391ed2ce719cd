#pragma once

#include <QSocketNotifier>
#include <core/Result.h>
#include <functional>
#include <memory>

namespace masticwall {

/**
 * Calls `aOnStop` for SIGTERM and SIGINT, and `aOnReload` for SIGHUP, on the event loop
 * of the thread that created it. At most one per process, as signal handlers are global.
 * The destructor closes the read end of the pipe from the signal handlers; the handlers
 * themselves stay installed.
 */
class SignalWatcher
{
public:
  /** Installs the signal handlers. Fails with the system's error if pipe2() fails. */
  static Result<std::unique_ptr<SignalWatcher>> create(
    const std::function<void()>& aOnStop,
    const std::function<void()>& aOnReload);
  ~SignalWatcher();

private:
  SignalWatcher(int aReadFd,
                const std::function<void()>& aOnStop,
                const std::function<void()>& aOnReload);

  int mReadFd;
  QSocketNotifier mNotifier;
};

} // namespace masticwall
