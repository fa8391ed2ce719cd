#include "GatewaySystem.h"
#include "LoopbackNet.h"
#include "Ports.h"
#include "Wait.h"
#include <QFile>
#include <QtEndian>

namespace masticwall::test {

namespace {

constexpr quint16 kUpstreamPort = 9000;
constexpr quint16 kReadyPort = 8388;
constexpr quint16 kPeerPort = 8382;
constexpr int kFirstGateway = 10;
constexpr int kFirstUpstream = 100;

std::string
frame(const std::string& aKey, const std::string& aValue)
{
  std::string record;
  record += static_cast<char>(aKey.size());
  record += aKey + aValue;
  std::string bytes(sizeof(quint32), '\0');
  qToBigEndian(static_cast<quint32>(record.size()), bytes.data());
  return bytes + record;
}

} // namespace

GatewaySystem::GatewaySystem(int aGateways, int aUpstreams)
  : mNet(nextNet())
  , mGateways(at(aGateways))
  , mUpstreams(at(aUpstreams))
{
}

bool
GatewaySystem::start()
{
  mStore = std::make_unique<ChildProcess>(QStringLiteral("standin-store"),
                                          QStringList{ QStringLiteral("--host"),
                                                       host(kStoreHost).toString(),
                                                       QStringLiteral("--port"),
                                                       QString::number(kStorePort) });
  bool isListening = waitForPort(host(kStoreHost), kStorePort);
  for (int i = 0; i < static_cast<int>(mUpstreams.size()); ++i) {
    startUpstream(i);
    isListening = isListening && waitForPort(host(kFirstUpstream + i), kUpstreamPort);
    listUpstream(i, "ready");
  }
  writeConfig(1);
  for (int i = 0; i < static_cast<int>(mGateways.size()); ++i) {
    startGateway(i);
  }
  return isListening && waitUntil([this] {
           for (int i = 0; i < static_cast<int>(mGateways.size()); ++i) {
             const auto answer = call(i, "GET", "/read/warm", "warm");
             if (!isReady(i) || !answer.has_value() || answer->status != 200) {
               return false;
             }
           }
           return true;
         });
}

void
GatewaySystem::startGateway(int aIndex)
{
  writeSettings(aIndex);
  keepLog(aIndex);
  mGateways[at(aIndex)] =
    std::make_unique<ChildProcess>(QStringLiteral("masticwall-gateway"),
                                   QStringList{ QStringLiteral("--settings"),
                                                settingsPath(aIndex),
                                                QStringLiteral("--hedge-share"),
                                                QString::number(mHedgeShare) });
}

void
GatewaySystem::startUpstream(int aIndex)
{
  mUpstreams[at(aIndex)] = std::make_unique<ChildProcess>(
    QStringLiteral("standin-upstream"), upstreamArguments(aIndex));
}

int
GatewaySystem::addGateway()
{
  mGateways.emplace_back();
  const auto index = static_cast<int>(mGateways.size()) - 1;
  startGateway(index);
  return index;
}

int
GatewaySystem::listedGateways()
{
  const auto answer =
    callOnce(host(kStoreHost),
             kStorePort,
             makeRequest("GET", "/log-newest?topic=keyed.members&part=0"),
             5000);
  return static_cast<int>(
    QByteArray::fromStdString(answer.value_or(http::Response{}).body).count("\"key\""));
}

bool
GatewaySystem::isReady(int aIndex)
{
  const auto answer = callOnce(
    host(kFirstGateway + aIndex), kReadyPort, makeRequest("GET", "/ready"), 1000);
  return answer.has_value() && answer->status == 200;
}

std::string
GatewaySystem::metrics(int aIndex)
{
  const auto answer = callOnce(
    host(kFirstGateway + aIndex), kReadyPort, makeRequest("GET", "/metrics"), 1000);
  return answer.value_or(http::Response{}).body;
}

std::string
GatewaySystem::state(int aIndex)
{
  const auto answer = callOnce(
    host(kFirstGateway + aIndex), kReadyPort, makeRequest("GET", "/state"), 1000);
  return answer.value_or(http::Response{}).body;
}

void
GatewaySystem::writeConfig(int aVersion)
{
  const auto version = std::to_string(aVersion);
  const bool hasTenants = mTenants.has_value();
  const auto row = [&](const std::string& aPath, const std::string& aKind) {
    const auto regions = aPath == "/read/" ? mReadRegions : "null";
    const bool isPublic = aPath == "/open/";
    return R"(["r)" + aPath + R"(","a.example",")" + aPath + R"(",")" + aKind +
           R"(","2s","200ms",1,"lookup",2,)" + regions +
           (hasTenants ? (isPublic ? ",true]" : ",false]") : "]");
  };
  const std::string tenants =
    hasTenants ? R"(,"tenants":{"columns":["name","api-keys","priority","rate-per-s",)"
                 R"("burst"],"rows":[)" +
                   *mTenants + "]}"
               : "";
  writeRecord("keyed.op",
              "config",
              R"({"version":)" + version +
                R"(,"routes":{"columns":["name","host","path-prefix","kind","timeout",)" +
                R"("target-latency","priority","service","attempts","allowed-regions")" +
                (hasTenants ? R"(,"public"],"rows":[)" + row("/open/", "safe") + ','
                            : R"(],"rows":[)") +
                row("/read/", "safe") + ',' + row("/order/", "unsafe") + ',' +
                row("/v" + version + '/', "safe") +
                R"(]},"services":{"columns":["name","health-path","max-connections",)" +
                R"("warmup","warmup-per-s"],"rows":[["lookup","/health",240,"60s",)" +
                std::to_string(mWarmUpPerSecond) +
                R"(]]},"limits":{"max-header-bytes":16384,"max-body-bytes":)" +
                std::to_string(mMaxBodyBytes) +
                R"(,"header-timeout":"3s","idle-timeout":"15s"})" + tenants + "}");
}

void
GatewaySystem::listUpstream(int aIndex,
                            const std::string& aState,
                            qint64 aStartedMs,
                            int aSequence)
{
  const auto address = host(kFirstUpstream + aIndex).toString().toStdString() + ':' +
                       std::to_string(kUpstreamPort);
  const auto zone = mZones.count(aIndex) > 0 ? mZones[aIndex] : "recife";
  const auto value =
    R"({"address":")" + address + R"(","born":)" + std::to_string(aStartedMs) +
    R"(,"info":{"service":"lookup","version":"v1","zone":")" + zone +
    R"(","concurrency-limit":4},"status":{"state":")" + aState + R"(","sequence":)" +
    std::to_string(aSequence) + R"(,"warmup-left":")" + mListedWarmUp + R"("}})";
  writeRecord("keyed.servers", upstreamName(aIndex), aState.empty() ? "" : value);
}

void
GatewaySystem::evacuate(const std::string& aZone, bool aIsEvacuated)
{
  writeRecord("keyed.op", "evacuate/" + aZone, aIsEvacuated ? "{}" : "");
}

void
GatewaySystem::writeRecord(const std::string& aTopic,
                           const std::string& aKey,
                           const std::string& aValue)
{
  const std::string more = mWritesThroughOutages ? "&operator=1" : "";
  post(host(kStoreHost),
       kStorePort,
       "/log-append?topic=" + aTopic + "&part=0" + more,
       frame(aKey, aValue));
}

qint64
GatewaySystem::setStore(const std::string& aQuery)
{
  const auto answer = post(host(kStoreHost), kStorePort, "/standin?" + aQuery, {});
  return QByteArray::fromStdString(answer.body).toLongLong();
}

void
GatewaySystem::setUpstream(int aIndex, const std::string& aQuery)
{
  post(host(kFirstUpstream + aIndex), kUpstreamPort, "/standin?" + aQuery, {});
}

http::Request
GatewaySystem::makeCall(const std::string& aMethod,
                        const std::string& aPath,
                        const std::string& aId,
                        const http::HeaderList& aMore)
{
  http::HeaderList headers{ { "Host", "a.example" },
                            { "Masticwall-Request-Id", aId },
                            { "Masticwall-Request-Deadline", "2000" } };
  headers.insert(headers.end(), aMore.begin(), aMore.end());
  return makeRequest(aMethod, aPath, headers);
}

std::optional<http::Response>
GatewaySystem::call(int aGateway,
                    const std::string& aMethod,
                    const std::string& aPath,
                    const std::string& aId,
                    const http::HeaderList& aMore)
{
  return callOnce(
    gatewayHost(aGateway), kFrontPort, makeCall(aMethod, aPath, aId, aMore), 5000);
}

QString
GatewaySystem::explain(const std::string& aId)
{
  QStringList arguments{ QStringLiteral("explain"), QString::fromStdString(aId) };
  keepLogs();
  for (int i = 0; i < static_cast<int>(mGateways.size()); ++i) {
    arguments.append(logPath(i));
  }
  ChildProcess ctl(QStringLiteral("masticwallctl"), arguments);
  return ctl.waitForEnd() == 0 ? ctl.standardOutput() : QString();
}

QString
GatewaySystem::logs()
{
  keepLogs();
  QString text;
  for (int i = 0; i < static_cast<int>(mGateways.size()); ++i) {
    QFile file(logPath(i));
    if (file.open(QIODevice::ReadOnly)) {
      text += QString::fromUtf8(file.readAll());
    }
  }
  return text;
}

LedgerFile
GatewaySystem::ledgerOf(int aIndex) const
{
  return LedgerFile::read(mDirectory.filePath(QStringLiteral("ledger-%1").arg(aIndex)));
}

void
GatewaySystem::keepLogs()
{
  for (int i = 0; i < static_cast<int>(mGateways.size()); ++i) {
    keepLog(i);
  }
}

void
GatewaySystem::keepLog(int aIndex)
{
  const auto& gateway = mGateways[at(aIndex)];
  QFile file(logPath(aIndex));
  if (gateway != nullptr && file.open(QIODevice::Append)) {
    file.write(gateway->standardOutput().toUtf8());
  }
}

QString
GatewaySystem::logPath(int aIndex) const
{
  return mDirectory.filePath(QStringLiteral("log-%1").arg(aIndex));
}

int
GatewaySystem::runsOf(const std::string& aId) const
{
  const auto runs = runsById();
  const auto it = runs.find(aId);
  return it == runs.end() ? 0 : it->second;
}

QHostAddress
GatewaySystem::gatewayHost(int aIndex) const
{
  return host(kFirstGateway + aIndex);
}

LedgerFile
GatewaySystem::ledger() const
{
  LedgerFile all;
  for (int i = 0; i < static_cast<int>(mUpstreams.size()); ++i) {
    all.add(ledgerOf(i));
  }
  return all;
}

std::map<std::string, int>
GatewaySystem::runsById() const
{
  return ledger().runsByKey;
}

QHostAddress
GatewaySystem::host(int aLast) const
{
  return loopbackAddress(mNet, aLast);
}

std::string
GatewaySystem::upstreamName(int aIndex) const
{
  return "i-" + std::to_string(aIndex);
}

QString
GatewaySystem::settingsPath(int aIndex) const
{
  return mDirectory.filePath(QStringLiteral("boot-%1.toml").arg(aIndex));
}

void
GatewaySystem::spoilSettings(int aIndex)
{
  QFile file(settingsPath(aIndex));
  if (file.open(QIODevice::WriteOnly)) {
    file.write("[self");
  }
}

void
GatewaySystem::setLimits(int aMaxFds, int aMemoryMb)
{
  mMaxFds = aMaxFds;
  mMemoryMb = aMemoryMb;
}

void
GatewaySystem::writeSettings(int aIndex, double aRetryShare) const
{
  const auto ip = host(kFirstGateway + aIndex).toString();
  const bool isCut = mCutFromStore.count(aIndex) > 0;
  const auto store = host(isCut ? kNoStoreHost : kStoreHost).toString();
  const auto seed = host(kFirstGateway).toString();
  QFile file(settingsPath(aIndex));
  if (!file.open(QIODevice::WriteOnly)) {
    return;
  }
  file.write(QStringLiteral("[self]\nnode = \"front-%1\"\nip = \"%2\"\n"
                            "zone = \"recife\"\nregion = \"litoral\"\n"
                            "[self.limits]\nmax-fds = %10\nmemory-mb = %11\n"
                            "[network]\nseeds = [\"%4:%6\"]\n[network.listen]\n"
                            "front = \"%2:%5\"\nready = \"%2:%7\"\ncontrol = \"%2:%6\"\n"
                            "[network.zones]\nrecife = \"litoral\"\n"
                            "natal = \"litoral\"\npetrolina = \"sertao\"\n"
                            "[platform.platform]\naddress = \"%3:%8\"\n"
                            "[terms.bounds]\ngrace = \"6s\"\n"
                            "cold-over = 1.5\ncold-slack = 8\n"
                            "retry-budget-ratio = %9\n"
                            "fail-closed = %12\nrevoke = \"%13ms\"\n")
               .arg(aIndex)
               .arg(ip, store, seed)
               .arg(kFrontPort)
               .arg(kPeerPort)
               .arg(kReadyPort)
               .arg(kStorePort)
               .arg(aRetryShare)
               .arg(mMaxFds)
               .arg(mMemoryMb)
               .arg(mFailsClosed ? QStringLiteral("true") : QStringLiteral("false"))
               .arg(mRevokeMs)
               .toUtf8());
}

QStringList
GatewaySystem::upstreamArguments(int aIndex) const
{
  return { QStringLiteral("--host"),
           host(kFirstUpstream + aIndex).toString(),
           QStringLiteral("--port"),
           QString::number(kUpstreamPort),
           QStringLiteral("--name"),
           QString::fromStdString(upstreamName(aIndex)),
           QStringLiteral("--form"),
           QStringLiteral("platform"),
           QStringLiteral("--ledger"),
           mDirectory.filePath(QStringLiteral("ledger-%1").arg(aIndex)) };
}

http::Response
GatewaySystem::post(const QHostAddress& aHost,
                    quint16 aPort,
                    const std::string& aTarget,
                    const std::string& aBody)
{
  return callOnce(aHost, aPort, makeRequest("POST", aTarget, {}, aBody), 5000)
    .value_or(http::Response{});
}

} // namespace masticwall::test
