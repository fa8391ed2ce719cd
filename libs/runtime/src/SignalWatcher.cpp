#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <runtime/SignalWatcher.h>
#include <unistd.h>

namespace masticwall {

namespace {

// What onSignal() writes to the pipe.
constexpr char kStop = 1;
constexpr char kReload = 2;

int sWriteFd = -1; ///< write end of the pipe to the event loop

/** The signal handler: only async-signal-safe calls, the event loop does the rest. */
void
onSignal(int aSignal)
{
  const char byte = aSignal == SIGHUP ? kReload : kStop;
  [[maybe_unused]] const auto n = write(sWriteFd, &byte, 1);
}

} // namespace

Result<std::unique_ptr<SignalWatcher>>
SignalWatcher::create(const std::function<void()>& aOnStop,
                      const std::function<void()>& aOnReload)
{
  int fds[2] = { -1, -1 };
  if (pipe2(fds, O_CLOEXEC | O_NONBLOCK) != 0) {
    return std::error_code(errno, std::generic_category());
  }
  sWriteFd = fds[1];
  struct sigaction action = {};
  action.sa_handler = onSignal;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  sigaction(SIGHUP, &action, nullptr);
  return std::unique_ptr<SignalWatcher>(new SignalWatcher(fds[0], aOnStop, aOnReload));
}

SignalWatcher::SignalWatcher(int aReadFd,
                             const std::function<void()>& aOnStop,
                             const std::function<void()>& aOnReload)
  : mReadFd(aReadFd)
  , mNotifier(aReadFd, QSocketNotifier::Read)
{
  QObject::connect(
    &mNotifier, &QSocketNotifier::activated, &mNotifier, [aReadFd, aOnStop, aOnReload] {
      char byte = 0;
      while (read(aReadFd, &byte, 1) == 1) {
        (byte == kReload ? aOnReload : aOnStop)();
      }
    });
}

SignalWatcher::~SignalWatcher()
{
  close(mReadFd);
}

} // namespace masticwall
