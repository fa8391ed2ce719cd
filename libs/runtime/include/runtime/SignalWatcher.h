#pragma once

#include <QSocketNotifier>
#include <core/Result.h>
#include <functional>
#include <memory>

namespace masticwall {

/**
 * Turns SIGTERM and SIGINT into calls of `aOnStop`, and SIGHUP into calls of `aOnReload`,
 * on the event loop of the thread that made it. One for each process.
 */
class SignalWatcher
{
public:
  /** Fails with the system's error if no pipe can be made. */
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
