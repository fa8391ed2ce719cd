#include "TestSystem.h"
#include "Wait.h"
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <unistd.h>

namespace masticwall::test {

namespace {

constexpr quint16 kPeerPort = 8081;
constexpr quint16 kEntryOperatorPort = 8082;
constexpr quint16 kControlPort = 8083;
constexpr quint16 kControlOperatorPort = 8084;
constexpr quint16 kStandinPort = 9000;
constexpr quint16 kProxyAdminPort = 9001;
constexpr int kLogHost = 1;
constexpr int kVmListHost = 60; ///< and up, where each VM sees a list of its own
constexpr int kLogProxyHost = 3;

/** A number for the loopback network of each system, so that none meets another. */
int
nextNet()
{
  static int sCount = 0;
  return static_cast<int>(getpid()) % 5000 * 10 + sCount++ % 10;
}

bool
isListening(const QHostAddress& aHost, quint16 aPort)
{
  QTcpSocket socket;
  socket.connectToHost(aHost, aPort);
  return socket.waitForConnected(200);
}

bool
waitForPort(const QHostAddress& aHost, quint16 aPort)
{
  return waitUntil([&] { return isListening(aHost, aPort); });
}

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
TestSystem::startPlatform()
{
  mLog =
    std::make_unique<ChildProcess>(QStringLiteral("standin-log"),
                                   QStringList{ QStringLiteral("--host"),
                                                address(kLogHost).toString(),
                                                QStringLiteral("--retention-ms"),
                                                QString::number(mPlan.logRetentionMs) });
  const int lists = mPlan.vmListsDiffer ? mPlan.vms : 1;
  for (int i = 0; i < lists; ++i) {
    mVmLists.push_back(
      std::make_unique<ChildProcess>(QStringLiteral("standin-vm-list"),
                                     QStringList{ QStringLiteral("--host"),
                                                  address(kVmListHost + i).toString(),
                                                  QStringLiteral("--lag-ms"),
                                                  QString::number(mPlan.vmListLagMs) }));
  }
  if (mPlan.proxiesLog) {
    mLogProxy =
      std::make_unique<ChildProcess>(QStringLiteral("standin-proxy"),
                                     QStringList{ QStringLiteral("--host"),
                                                  address(kLogProxyHost).toString(),
                                                  QStringLiteral("--target-host"),
                                                  address(kLogHost).toString(),
                                                  QStringLiteral("--target-port"),
                                                  QString::number(kStandinPort) });
  }
  startUpstreams();
  bool isUp = waitForPort(address(kLogHost), kStandinPort);
  for (int i = 0; i < lists; ++i) {
    isUp = isUp && waitForPort(address(kVmListHost + i), kStandinPort);
  }
  publishVmList();
  return isUp;
}

void
TestSystem::startUpstreams()
{
  for (int i = 0; i < upstreamCount(); ++i) {
    startUpstream(i);
    if (mPlan.proxiesUpstreams) {
      startUpstreamProxy(i);
    }
  }
  for (int i = 0; i < upstreamCount(); ++i) {
    waitForPort(mPlan.proxiesUpstreams ? proxyHost(i) : upstreamHost(i), kStandinPort);
  }
}

void
TestSystem::startUpstream(int aIndex)
{
  auto& upstream = mUpstreams[static_cast<std::size_t>(aIndex)];
  upstream.process = std::make_unique<ChildProcess>(
    QStringLiteral("standin-upstream"),
    QStringList{ QStringLiteral("--name"),
                 textOf(upstream.name),
                 QStringLiteral("--host"),
                 upstreamHost(aIndex).toString(),
                 QStringLiteral("--slots"),
                 QString::number(upstream.service.slots),
                 QStringLiteral("--queue"),
                 QString::number(mPlan.upstreamQueue),
                 QStringLiteral("--service-ms"),
                 QString::number(mPlan.serviceMs),
                 QStringLiteral("--cold-ms"),
                 QString::number(mPlan.coldMs),
                 QStringLiteral("--instance"),
                 QString::number(upstream.instance),
                 QStringLiteral("--seed"),
                 QString::number(aIndex + 1),
                 QStringLiteral("--ledger"),
                 filePath(textOf(upstream.name) + QStringLiteral(".ledger")) });
  waitForPort(upstreamHost(aIndex), kStandinPort);
}

void
TestSystem::restartUpstream(int aIndex)
{
  auto& upstream = mUpstreams[static_cast<std::size_t>(aIndex)];
  upstream.process->kill();
  ++upstream.instance;
  startUpstream(aIndex);
  publishVmList();
}

void
TestSystem::startUpstreamProxy(int aIndex)
{
  mUpstreams[static_cast<std::size_t>(aIndex)].proxy =
    std::make_unique<ChildProcess>(QStringLiteral("standin-proxy"),
                                   QStringList{ QStringLiteral("--host"),
                                                proxyHost(aIndex).toString(),
                                                QStringLiteral("--target-host"),
                                                upstreamHost(aIndex).toString(),
                                                QStringLiteral("--target-port"),
                                                QString::number(kStandinPort) });
}

std::string
TestSystem::upstreamName(int aIndex) const
{
  return mUpstreams[static_cast<std::size_t>(aIndex)].name;
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

qint64
TestSystem::firstConfigOffset()
{
  const auto response = callOnce(address(kLogHost),
                                 kStandinPort,
                                 makeRequest("GET", "/streams/masticwall-config?from=0"));
  if (!response.has_value()) {
    return 0;
  }
  return QJsonDocument::fromJson(QByteArray::fromStdString(response->body))
    .object()[QStringLiteral("first")]
    .toInteger();
}

void
TestSystem::appendConfig(const std::string& aData)
{
  append("masticwall-config", aData);
}

void
TestSystem::appendClaims(const std::string& aData)
{
  append("masticwall-claims-0", aData);
}

void
TestSystem::append(const std::string& aStream, const std::string& aData)
{
  callOnce(address(kLogHost),
           kStandinPort,
           makeRequest("POST", "/streams/" + aStream, {}, aData));
}

void
TestSystem::putVmList(const std::string& aList)
{
  callOnce(address(kVmListHost), kStandinPort, makeRequest("PUT", "/vms", {}, aList));
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

void
TestSystem::setLog(const std::string& aQuery)
{
  admin(address(kLogHost), kStandinPort, aQuery);
}

void
TestSystem::setUpstream(int aIndex, const std::string& aQuery)
{
  admin(upstreamHost(aIndex), kStandinPort, aQuery);
}

void
TestSystem::setUpstreamProxy(int aIndex, const std::string& aQuery)
{
  admin(proxyHost(aIndex), kProxyAdminPort, aQuery);
}

void
TestSystem::setLogProxy(const std::string& aQuery)
{
  admin(address(kLogProxyHost), kProxyAdminPort, aQuery);
}

void
TestSystem::admin(const QHostAddress& aHost, quint16 aPort, const std::string& aQuery)
{
  callOnce(aHost, aPort, makeRequest("POST", "/standin?" + aQuery));
}

void
TestSystem::listUpstreamLeaving(int aIndex, bool aIsLeaving)
{
  mUpstreams[static_cast<std::size_t>(aIndex)].isListedLeaving = aIsLeaving;
  publishVmList();
}

void
TestSystem::publishVmList()
{
  for (int i = 0; i < static_cast<int>(mVmLists.size()); ++i) {
    const auto body = vmListFor(i).toStdString();
    callOnce(
      address(kVmListHost + i), kStandinPort, makeRequest("PUT", "/vms", {}, body));
  }
}

QByteArray
TestSystem::vmListFor(int aVm) const
{
  QJsonArray vms;
  for (int i = 0; i < mPlan.vms; ++i) {
    if (mPlan.vmListsDiffer && i != aVm) {
      continue;
    }
    vms.append(QJsonObject{
      { QStringLiteral("name"), QStringLiteral("vm-%1").arg(i) },
      { QStringLiteral("role"), QStringLiteral("masticwall") },
      { QStringLiteral("region"), textOf(regionOf(i)) },
      { QStringLiteral("data_centre"), textOf(regionOf(i)) + QStringLiteral("-a") },
      { QStringLiteral("host"), vmHost(i).toString() },
      { QStringLiteral("port"), kPeerPort },
      { QStringLiteral("control_port"), kControlPort },
      { QStringLiteral("operator_port"), kControlOperatorPort },
      { QStringLiteral("instance"),
        QString::number(mVms[static_cast<std::size_t>(i)].instance) } });
  }
  for (int i = 0; i < upstreamCount(); ++i) {
    const auto& upstream = mUpstreams[static_cast<std::size_t>(i)];
    const auto host = mPlan.proxiesUpstreams ? proxyHost(i) : upstreamHost(i);
    vms.append(
      QJsonObject{ { QStringLiteral("name"), textOf(upstream.name) },
                   { QStringLiteral("role"), QStringLiteral("upstream") },
                   { QStringLiteral("service"), textOf(upstream.service.name) },
                   { QStringLiteral("region"), textOf(upstream.region) },
                   { QStringLiteral("host"), host.toString() },
                   { QStringLiteral("port"), kStandinPort },
                   { QStringLiteral("instance"), QString::number(upstream.instance) },
                   { QStringLiteral("leaving"), upstream.isListedLeaving } });
  }
  return QJsonDocument(QJsonObject{ { QStringLiteral("vms"), vms } }).toJson();
}

LedgerFile
TestSystem::ledger() const
{
  LedgerFile all;
  for (int i = 0; i < upstreamCount(); ++i) {
    all.add(ledgerOf(i));
  }
  return all;
}

LedgerFile
TestSystem::ledgerOf(int aIndex) const
{
  return LedgerFile::read(
    filePath(textOf(upstreamName(aIndex)) + QStringLiteral(".ledger")));
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
  // 127.16.0.0 and up: away from what other programs use.
  const auto net = static_cast<quint32>(mNet);
  return QHostAddress((127U << 24U) + (16U << 16U) + (net << 8U) +
                      static_cast<quint32>(aLast));
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
