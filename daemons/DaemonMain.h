#pragma once

#include <QCoreApplication>
#include <cstdlib>
#include <iostream>
#include <runtime/SignalWatcher.h>
#include <telemetry/EventLog.h>

namespace masticwall {

/** A daemon's settings: read from flags and environment variables. */
template<class S>
concept DaemonSettings = requires(int aArgc, const char* const* aArgv)
{
  S::parse(aArgc, aArgv).settings;
};

/** A daemon as a library: made from its settings, it calls back when it may end. */
template<class D, class S>
concept Daemon = DaemonSettings<S> && requires(D aDaemon)
{
  D::create(*S::parse(0, nullptr).settings, std::function<void(int)>());
  aDaemon.requestStop();
  aDaemon.reload();
};

/** Logs while it lives. */
class EventLogScope
{
public:
  explicit EventLogScope(const char* aProcess) { startEventLog(aProcess); }
  ~EventLogScope() { stopEventLog(); }
  EventLogScope(const EventLogScope&) = delete;
  EventLogScope& operator=(const EventLogScope&) = delete;
};

/**
 * Ends the process without the destructors of static objects: log4cplus waits there for
 * the threads of its pool, on some machines until the process is killed.
 */
[[noreturn]] inline void
endProcess(int aExitCode)
{
  std::cout.flush();
  std::_Exit(aExitCode);
}

/** Runs daemon `D` until it ends; returns the process's exit code. */
template<class D, class S>
requires Daemon<D, S>
int
runDaemon(const char* aName, int aArgc, char** aArgv)
{
  const auto parse = S::parse(aArgc, aArgv);
  if (!parse.settings.has_value()) {
    (parse.exitCode == 0 ? std::cout : std::cerr) << parse.output;
    return parse.exitCode;
  }
  QCoreApplication app(aArgc, aArgv);
  const EventLogScope log(aName);
  auto daemon =
    D::create(*parse.settings, [](int aExitCode) { QCoreApplication::exit(aExitCode); });
  if (daemon.has_error()) {
    logEvent(LogEvent::ListenFailed, { { "error", daemon.error().message() } });
    return 1;
  }
  auto* const running = daemon.value().get();
  const auto signals = SignalWatcher::create([running] { running->requestStop(); },
                                             [running] {
                                               logEvent(LogEvent::ReloadRequested);
                                               running->reload();
                                             });
  if (signals.has_error()) {
    return 1;
  }
  return QCoreApplication::exec();
}

} // namespace masticwall
