#include "TestSystem.h"
#include "LoopbackNet.h"
#include "Ports.h"
#include "TestPlaces.h"
#include "Wait.h"
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <unistd.h>

namespace masticwall::test {

namespace {

QString
textOf(const std::string& aText)
{
  return QString::fromStdString(aText);
}

} // namespace

TestSystem::TestSystem(const SystemPlan& aPlan)
  : mPlan(aPlan)
  , mNet(nextNet())
{
  int index = 0;
  for (const auto& service : mPlan.services) {
    for (const auto& region : mPlan.regions) {
      for (int i = 0; i < service.upstreams; ++i) {
        UpstreamProcess upstream;
        upstream.name = service.name + '-' + std::to_string(index++);
        upstream.service = service;
        upstream.region = region;
        mUpstreams.push_back(std::move(upstream));
      }
    }
  }
  mVms.resize(static_cast<std::size_t>(mPlan.vms));
}

TestSystem::~TestSystem()
{
  if (qEnvironmentVariableIsSet("MASTICWALL_TEST_LOGS")) {
    for (auto& it : mVms) {
      for (auto* const process : { it.entry.get(), it.control.get() }) {
        if (process != nullptr) {
          fprintf(stderr, "%s", process->standardError().toUtf8().constData());
        }
      }
    }
  }
}

bool
TestSystem::start()
{
  if (!startPlatform()) {
    return false;
  }
  for (int i = 0; i < mPlan.vms; ++i) {
    if (!startVm(i)) {
      return false;
    }
  }
  return publishPreset(presetText());
}

bool
TestSystem::startVm(int aVm)
{
  startControl(aVm);
  auto& vm = mVms[static_cast<std::size_t>(aVm)];
  auto arguments = commonArguments(aVm);
  arguments << QStringLiteral("--workers") << QString::number(mPlan.workers)
            << QStringLiteral("--request-timeout-ms")
            << QString::number(mPlan.requestTimeoutMs) << QStringLiteral("--notice-ms")
            << QString::number(mPlan.noticeMs) << QStringLiteral("--longest-drain-ms")
            << QString::number(mPlan.longestDrainMs);
  vm.entry =
    std::make_unique<ChildProcess>(QStringLiteral("masticwall-entry"), arguments);
  return waitForPort(vmHost(aVm), kCallerPort) && waitForPort(vmHost(aVm), kControlPort);
}

void
TestSystem::startControl(int aVm)
{
  auto& vm = mVms[static_cast<std::size_t>(aVm)];
  auto arguments = commonArguments(aVm);
  arguments << QStringLiteral("--log-url") << logUrl() << QStringLiteral("--vm-list-url")
            << vmListUrl(aVm) << QStringLiteral("--log-retention-ms")
            << QString::number(mPlan.logRetentionMs);
  vm.control =
    std::make_unique<ChildProcess>(QStringLiteral("masticwall-control"), arguments);
}

void
TestSystem::killVm(int aVm)
{
  entry(aVm).kill();
  control(aVm).kill();
}

bool
TestSystem::replaceVm(int aVm)
{
  ++mVms[static_cast<std::size_t>(aVm)].instance;
  publishVmList();
  return startVm(aVm);
}

bool
TestSystem::publishPreset(const std::string& aText)
{
  QFile file(filePath(QStringLiteral("preset.toml")));
  if (!file.open(QIODevice::WriteOnly | QIODevice::Truncate)) {
    return false;
  }
  file.write(QByteArray::fromStdString(aText));
  file.close();
  if (ctl({ QStringLiteral("publish"), file.fileName() }).exitCode != 0) {
    return false;
  }
  const auto switched =
    ctl({ QStringLiteral("--json"), QStringLiteral("switch"), QStringLiteral("test") });
  if (switched.exitCode != 0) {
    return false;
  }
  const auto version = QJsonDocument::fromJson(switched.output.toUtf8())
                         .object()[QStringLiteral("version")]
                         .toInteger();
  return waitUntil([&] {
    for (int i = 0; i < mPlan.vms; ++i) {
      const auto dump = entryState(i);
      const bool knowsUpstreams =
        dump[QStringLiteral("upstreams")].toArray().size() == upstreamCount();
      if (dump[QStringLiteral("version")].toInteger() < version || !knowsUpstreams ||
          !controlState(i)[QStringLiteral("claimsReady")].toBool()) {
        return false;
      }
    }
    return true;
  });
}

std::optional<http::Response>
TestSystem::call(int aVm, const http::Request& aRequest, int aMostMs)
{
  return callOnce(vmHost(aVm), kCallerPort, aRequest, aMostMs);
}

CtlResult
TestSystem::ctl(const QStringList& aArguments)
{
  ChildProcess process(QStringLiteral("masticwallctl"), ctlArguments() + aArguments);
  const auto exitCode = process.waitForEnd();
  return { exitCode, process.standardOutput(), process.standardError() };
}

void
TestSystem::ctlBoth(const QStringList& aFirst,
                    const QStringList& aSecond,
                    std::vector<CtlResult>& aResults)
{
  ChildProcess first(QStringLiteral("masticwallctl"), ctlArguments() + aFirst);
  ChildProcess second(QStringLiteral("masticwallctl"), ctlArguments() + aSecond);
  const auto firstCode = first.waitForEnd();
  const auto secondCode = second.waitForEnd();
  aResults = { { firstCode, first.standardOutput(), first.standardError() },
               { secondCode, second.standardOutput(), second.standardError() } };
}

QStringList
TestSystem::ctlArguments() const
{
  return {
    QStringLiteral("--log-url"), logUrl(), QStringLiteral("--vm-list-url"), vmListUrl(0)
  };
}

QJsonObject
TestSystem::entryState(int aVm)
{
  return state(aVm, kEntryOperatorPort);
}

QJsonObject
TestSystem::controlState(int aVm)
{
  return state(aVm, kControlOperatorPort);
}

QJsonObject
TestSystem::state(int aVm, quint16 aPort)
{
  const auto response = callOnce(vmHost(aVm), aPort, makeRequest("GET", "/state"), 2000);
  if (!response.has_value()) {
    return {};
  }
  return QJsonDocument::fromJson(QByteArray::fromStdString(response->body)).object();
}

std::string
TestSystem::presetText() const
{
  if (!mPlan.preset.empty()) {
    return mPlan.preset;
  }
  std::string text = "name = \"test\"\n"
                     "[ranks.urgent]\ntarget_ms = 500\nfloor = 0.4\nworth = 10\n"
                     "[ranks.standard]\ntarget_ms = 500\nfloor = 0.2\nworth = 2\n"
                     "[ranks.bulk]\ntarget_ms = 1000\nfloor = 0.1\nworth = 1\n"
                     "[measuring]\nvms = " +
                     std::to_string(mPlan.vms) + "\n";
  for (const auto& it : mPlan.services) {
    text += "[[service]]\nname = \"" + it.name +
            "\"\nslots = " + std::to_string(it.slots) +
            "\n[[service.route]]\nmethod = \"GET\"\npath = \"/" + it.name +
            "\"\ndeadline_ms = 2000\n"
            "[[service.route]]\nmethod = \"HEAD\"\npath = \"/" +
            it.name +
            "\"\ndeadline_ms = 2000\n"
            "[[service.route]]\nmethod = \"GET\"\npath = \"/" +
            it.name +
            "/bulk\"\nrank = \"bulk\"\ndeadline_ms = 2000\n"
            "[[service.route]]\nmethod = \"POST\"\npath = \"/" +
            it.name + "\"\nrank = \"urgent\"\nidempotent = false\ndeadline_ms = 3000\n";
  }
  return text;
}

QHostAddress
TestSystem::address(int aLast) const
{
  return loopbackAddress(mNet, aLast);
}

std::string
TestSystem::regionOf(int aVm) const
{
  return mPlan.regions[static_cast<std::size_t>(aVm) % mPlan.regions.size()];
}

QString
TestSystem::logUrl() const
{
  const auto host = address(mPlan.proxiesLog ? kLogProxyHost : kLogHost);
  return QStringLiteral("http://%1:%2").arg(host.toString()).arg(kStandinPort);
}

QString
TestSystem::vmListUrl(int aVm) const
{
  if (!mVmListUrl.isEmpty()) {
    return mVmListUrl;
  }
  const auto host = address(kVmListHost + (mPlan.vmListsDiffer ? aVm : 0));
  return QStringLiteral("http://%1:%2").arg(host.toString()).arg(kStandinPort);
}

QStringList
TestSystem::commonArguments(int aVm) const
{
  return { QStringLiteral("--vm"),
           QStringLiteral("vm-%1").arg(aVm),
           QStringLiteral("--region"),
           textOf(regionOf(aVm)),
           QStringLiteral("--data-centre"),
           textOf(regionOf(aVm)) + QStringLiteral("-a"),
           QStringLiteral("--host"),
           vmHost(aVm).toString(),
           QStringLiteral("--instance"),
           QString::number(mVms[static_cast<std::size_t>(aVm)].instance),
           QStringLiteral("--order-window-ms"),
           QString::number(mPlan.orderWindowMs) };
}

} // namespace masticwall::test
