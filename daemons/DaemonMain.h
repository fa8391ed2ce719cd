#pragma once

#include <QCoreApplication>
#include <cstdlib>
#include <iostream>
#include <runtime/SignalWatcher.h>
#include <telemetry/EventLog.h>

namespace masticwall {

/** The settings of a daemon, from its command line and environment variables. */
template<class S>
concept DaemonSettings = requires(int aArgc, const char* const* aArgv)
{
  S::parse(aArgc, aArgv).settings;
};

/** A daemon class: created from its settings, with a callback for its exit code. */
template<class D, class S>
concept Daemon = DaemonSettings<S> && requires(D aDaemon)
{
  D::create(*S::parse(0, nullptr).settings, std::function<void(int)>());
  aDaemon.requestStop();
  aDaemon.reload();
};

/** Starts the event log; stops it on destruction. */
class EventLogScope
{
public:
  explicit EventLogScope(const char* aProcess) { startEventLog(aProcess); }
  ~EventLogScope() { stopEventLog(); }
  EventLogScope(const EventLogScope&) = delete;
  EventLogScope& operator=(const EventLogScope&) = delete;
};

/**
 * Ends the process without running the destructors of static objects: one in log4cplus
 * waits for the threads of its pool, on some machines until the process is killed.
 */
[[noreturn]] inline void
endProcess(int aExitCode)
{
  std::cout.flush();
  std::_Exit(aExitCode);
}

/** Runs daemon `D` on the Qt event loop until it ends; returns the exit code. */
template<class D, class S>
requires Daemon<D, S>
int
runDaemon(const char* aName, int aArgc, char** aArgv)
{
  const auto parsed = S::parse(aArgc, aArgv);
  if (!parsed.settings.has_value()) {
    (parsed.exitCode == 0 ? std::cout : std::cerr) << parsed.output;
    return parsed.exitCode;
  }
  QCoreApplication app(aArgc, aArgv);
  const EventLogScope log(aName);
  auto daemon =
    D::create(*parsed.settings, [](int aExitCode) { QCoreApplication::exit(aExitCode); });
  if (daemon.has_error()) {
    logEvent(LogEvent::ListenFailed, { { "error", daemon.error().message() } });
    return 1;
  }
  auto* const instance = daemon.value().get();
  const auto signals = SignalWatcher::create([instance] { instance->requestStop(); },
                                             [instance] {
                                               logEvent(LogEvent::ReloadRequested);
                                               instance->reload();
                                             });
  if (signals.has_error()) {
    return 1;
  }
  return QCoreApplication::exec();
}

} // namespace masticwall
