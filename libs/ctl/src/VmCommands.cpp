#include "Commands.h"
#include "ConfigSession.h"
#include "Print.h"
#include "VmSession.h"
#include <QEventLoop>
#include <QTimer>
#include <algorithm>
#include <iostream>

// The commands that query or drain VMs.
namespace masticwall::commands {

namespace {

constexpr int kStatusPollPeriodMs = 200;

/** Runs the Qt event loop for `aMilliseconds`. */
void
waitMs(int aMilliseconds)
{
  QEventLoop loop;
  QTimer::singleShot(aMilliseconds, &loop, &QEventLoop::quit);
  loop.exec();
}

QJsonObject
toJson(const VmStatus& aStatus)
{
  return {
    { QStringLiteral("vm"), toText(aStatus.vm) },
    { QStringLiteral("answering"), aStatus.hasReplied },
    { QStringLiteral("version"), static_cast<qint64>(aStatus.version) },
    { QStringLiteral("preset"), toText(aStatus.preset) },
    { QStringLiteral("leaving"), aStatus.isLeaving },
    { QStringLiteral("logReachable"), aStatus.state[QStringLiteral("logReachable")] },
    { QStringLiteral("claimsReady"), aStatus.state[QStringLiteral("claimsReady")] }
  };
}

void
printStatus(const VmStatus& aStatus, std::uint64_t aNewestVersion)
{
  std::cout << aStatus.vm << ' ';
  if (!aStatus.hasReplied) {
    std::cout << "does not answer\n";
    return;
  }
  std::cout << "version=" << aStatus.version << " preset=" << aStatus.preset
            << (aStatus.version < aNewestVersion ? " behind" : " current")
            << (aStatus.isLeaving ? " leaving" : "")
            << (aStatus.state[QStringLiteral("logReachable")].toBool()
                  ? ""
                  : " log-unreachable")
            << '\n';
}

std::size_t
countAtVersion(const std::vector<VmStatus>& aStatuses, std::uint64_t aVersion)
{
  return static_cast<std::size_t>(
    std::count_if(aStatuses.begin(), aStatuses.end(), [&](const VmStatus& aStatus) {
      return aStatus.hasReplied && aStatus.version >= aVersion;
    }));
}

} // namespace

CtlExitCode
status(const CtlSettings& aSettings)
{
  VmSession vms(aSettings);
  const auto statuses = vms.statuses();
  if (statuses.has_error()) {
    return printError(aSettings, statuses.error());
  }
  // The newest version is that of the log's active preset or of a VM, if that is newer.
  // If the log can't be reached, only the VMs count.
  ConfigSession config(aSettings);
  std::uint64_t newestVersion = 0;
  if (config.load().has_value()) {
    newestVersion = config.state().activeVersion();
  }
  QJsonArray list;
  for (const auto& it : statuses.value()) {
    newestVersion = std::max(newestVersion, it.version);
  }
  for (const auto& it : statuses.value()) {
    if (aSettings.isJson) {
      list.append(toJson(it));
    } else {
      printStatus(it, newestVersion);
    }
  }
  if (aSettings.isJson) {
    printJson({ { QStringLiteral("vms"), list },
                { QStringLiteral("newest"), static_cast<qint64>(newestVersion) } });
  }
  const auto n = countAtVersion(statuses.value(), newestVersion);
  return n == statuses.value().size() ? CtlExitCode::Done : CtlExitCode::VmsDiffer;
}

CtlExitCode
wait(const CtlSettings& aSettings, std::uint64_t aVersion)
{
  VmSession vms(aSettings);
  const auto deadline = std::chrono::steady_clock::now() + aSettings.timeout();
  std::size_t lastCount = 0;
  while (true) {
    const auto statuses = vms.statuses();
    if (statuses.has_value()) {
      const auto n = countAtVersion(statuses.value(), aVersion);
      if (n != lastCount && !aSettings.isJson) {
        std::cout << n << " of " << statuses.value().size() << " VMs at version "
                  << aVersion << std::endl;
      }
      lastCount = n;
      if (n == statuses.value().size()) {
        return CtlExitCode::Done;
      }
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      std::cerr << "masticwallctl: not every VM has version " << aVersion
                << " in force; see 'masticwallctl status'\n";
      return CtlExitCode::VmsDiffer;
    }
    waitMs(kStatusPollPeriodMs);
  }
}

CtlExitCode
state(const CtlSettings& aSettings, const std::string& aVm)
{
  VmSession vms(aSettings);
  const auto text = vms.state(aVm);
  if (text.has_error()) {
    return printError(aSettings, text.error());
  }
  std::cout << text.value().toStdString() << '\n';
  return CtlExitCode::Done;
}

CtlExitCode
drain(const CtlSettings& aSettings, const std::string& aVm)
{
  VmSession vms(aSettings);
  const auto drained = vms.drain(aVm);
  if (drained.has_error()) {
    return printError(aSettings, drained.error());
  }
  if (!aSettings.isJson) {
    std::cout << aVm << " leaves\n";
  }
  return CtlExitCode::Done;
}

} // namespace masticwall::commands
