#include "Ports.h"
#include "TestPlaces.h"
#include "TestSystem.h"
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

// The part of TestSystem that stands for the platform and the upstreams.
namespace masticwall::test {

namespace {

QString
textOf(const std::string& aText)
{
  return QString::fromStdString(aText);
}

} // namespace

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

} // namespace masticwall::test
