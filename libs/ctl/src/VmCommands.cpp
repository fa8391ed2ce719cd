#include "Commands.h"
#include "ConfigSession.h"
#include "Print.h"
#include "VmSession.h"
#include <QEventLoop>
#include <QTimer>
#include <algorithm>
#include <iostream>

// The commands that ask VMs.
namespace masticwall::commands {

namespace {

constexpr int kWaitPeriodMs = 200;

void
pause(int aMilliseconds)
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
    { QStringLiteral("answering"), aStatus.isAnswering },
    { QStringLiteral("version"), static_cast<qint64>(aStatus.version) },
    { QStringLiteral("preset"), toText(aStatus.preset) },
    { QStringLiteral("leaving"), aStatus.isLeaving },
    { QStringLiteral("logReachable"), aStatus.state[QStringLiteral("logReachable")] },
    { QStringLiteral("claimsReady"), aStatus.state[QStringLiteral("claimsReady")] }
  };
}

void
printStatus(const VmStatus& aStatus, std::uint64_t aNewest)
{
  std::cout << aStatus.vm << ' ';
  if (!aStatus.isAnswering) {
    std::cout << "does not answer\n";
    return;
  }
  std::cout << "version=" << aStatus.version << " preset=" << aStatus.preset
            << (aStatus.version < aNewest ? " behind" : " current")
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
      return aStatus.isAnswering && aStatus.version >= aVersion;
    }));
}

} // namespace

CtlExit
status(const CtlSettings& aSettings)
{
  VmSession vms(aSettings);
  const auto statuses = vms.statuses();
  if (statuses.has_error()) {
    return printError(aSettings, statuses.error());
  }
  // What should be in force, if the log can say; else the newest that a VM has.
  ConfigSession config(aSettings);
  std::uint64_t newest = 0;
  if (config.load().has_value()) {
    newest = config.state().activeVersion();
  }
  QJsonArray list;
  for (const auto& it : statuses.value()) {
    newest = std::max(newest, it.version);
  }
  for (const auto& it : statuses.value()) {
    if (aSettings.isJson) {
      list.append(toJson(it));
    } else {
      printStatus(it, newest);
    }
  }
  if (aSettings.isJson) {
    printJson({ { QStringLiteral("vms"), list },
                { QStringLiteral("newest"), static_cast<qint64>(newest) } });
  }
  const auto n = countAtVersion(statuses.value(), newest);
  return n == statuses.value().size() ? CtlExit::Done : CtlExit::VmsDiffer;
}

CtlExit
wait(const CtlSettings& aSettings, std::uint64_t aVersion)
{
  VmSession vms(aSettings);
  const auto until = std::chrono::steady_clock::now() + aSettings.timeout();
  std::size_t last = 0;
  while (true) {
    const auto statuses = vms.statuses();
    if (statuses.has_value()) {
      const auto n = countAtVersion(statuses.value(), aVersion);
      if (n != last && !aSettings.isJson) {
        std::cout << n << " of " << statuses.value().size() << " VMs at version "
                  << aVersion << std::endl;
      }
      last = n;
      if (n == statuses.value().size()) {
        return CtlExit::Done;
      }
    }
    if (std::chrono::steady_clock::now() >= until) {
      std::cerr << "masticwallctl: not every VM has version " << aVersion
                << " in force; see 'masticwallctl status'\n";
      return CtlExit::VmsDiffer;
    }
    pause(kWaitPeriodMs);
  }
}

CtlExit
state(const CtlSettings& aSettings, const std::string& aVm)
{
  VmSession vms(aSettings);
  const auto text = vms.state(aVm);
  if (text.has_error()) {
    return printError(aSettings, text.error());
  }
  std::cout << text.value().toStdString() << '\n';
  return CtlExit::Done;
}

CtlExit
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
  return CtlExit::Done;
}

} // namespace masticwall::commands
