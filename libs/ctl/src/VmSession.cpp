#include "VmSession.h"
#include "Await.h"
#include "CtlError.h"
#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>
#include <algorithm>
#include <messages/VmListMessage.h>
#include <service/VmListClient.h>

namespace masticwall {

namespace {

constexpr Duration kVmListTimeout = std::chrono::seconds(2);
constexpr int kVmRequestTimeoutMs = 1500;

QNetworkRequest
operatorRequest(const Vm& aVm, const QString& aPath)
{
  QUrl url;
  url.setScheme(QStringLiteral("http"));
  url.setHost(QString::fromStdString(aVm.host));
  url.setPort(aVm.operatorPort);
  url.setPath(aPath);
  QNetworkRequest request(url);
  request.setTransferTimeout(kVmRequestTimeoutMs);
  return request;
}

VmStatus
toStatus(const Vm& aVm, QNetworkReply& aReply)
{
  VmStatus status;
  status.vm = aVm.name;
  if (aReply.error() != QNetworkReply::NoError) {
    return status;
  }
  status.state = QJsonDocument::fromJson(aReply.readAll()).object();
  status.hasReplied = status.state.contains(QStringLiteral("version"));
  status.version =
    static_cast<std::uint64_t>(status.state[QStringLiteral("version")].toInteger());
  status.preset = status.state[QStringLiteral("preset")].toString().toStdString();
  status.isLeaving = status.state[QStringLiteral("leaving")].toBool();
  return status;
}

} // namespace

struct VmSession::Impl
{
  QNetworkAccessManager network;
};

VmSession::VmSession(const CtlSettings& aSettings)
  : mSettings(aSettings)
  , mImpl(std::make_unique<Impl>())
{
}

VmSession::~VmSession() = default;

Result<VmList>
VmSession::vms()
{
  VmListClient client(QUrl(QString::fromStdString(mSettings.vmListUrl)));
  const auto text =
    await<Result<QByteArray>>([&](auto aDone) { client.fetch(kVmListTimeout, aDone); });
  if (text.has_error()) {
    return CtlError::VmListUnreachable;
  }
  auto list = parseVmList(text.value());
  if (list.has_error()) {
    return CtlError::VmListUnreachable;
  }
  std::erase_if(list.value(),
                [](const Vm& aVm) { return aVm.role != VmRole::Masticwall; });
  return list;
}

Result<std::vector<VmStatus>>
VmSession::statuses()
{
  BOOST_OUTCOME_TRY(list, vms());
  return await<std::vector<VmStatus>>([&](auto aDone) {
    const auto statuses = std::make_shared<std::vector<VmStatus>>();
    if (list.empty()) {
      aDone({});
      return;
    }
    for (const auto& vm : list) {
      auto* const reply =
        mImpl->network.get(operatorRequest(vm, QStringLiteral("/state")));
      QObject::connect(reply,
                       &QNetworkReply::finished,
                       reply,
                       [reply, vm, statuses, aDone, n = list.size()] {
                         reply->deleteLater();
                         statuses->push_back(toStatus(vm, *reply));
                         if (statuses->size() == n) {
                           std::sort(statuses->begin(),
                                     statuses->end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.vm < aRight.vm;
                                     });
                           aDone(*statuses);
                         }
                       });
    }
  });
}

Result<QByteArray>
VmSession::state(const std::string& aVm)
{
  BOOST_OUTCOME_TRY(vm, find(aVm));
  auto* const reply = mImpl->network.get(operatorRequest(vm, QStringLiteral("/state")));
  return await<Result<QByteArray>>([&](auto aDone) {
    QObject::connect(reply, &QNetworkReply::finished, reply, [reply, aDone] {
      reply->deleteLater();
      if (reply->error() != QNetworkReply::NoError) {
        aDone(CtlError::VmUnreachable);
        return;
      }
      aDone(reply->readAll());
    });
  });
}

Result<void>
VmSession::drain(const std::string& aVm)
{
  BOOST_OUTCOME_TRY(vm, find(aVm));
  auto* const reply =
    mImpl->network.post(operatorRequest(vm, QStringLiteral("/drain")), QByteArray());
  return await<Result<void>>([&](auto aDone) {
    QObject::connect(reply, &QNetworkReply::finished, reply, [reply, aDone] {
      reply->deleteLater();
      if (reply->error() != QNetworkReply::NoError) {
        aDone(CtlError::VmUnreachable);
        return;
      }
      aDone(success());
    });
  });
}

Result<Vm>
VmSession::find(const std::string& aVm)
{
  BOOST_OUTCOME_TRY(list, vms());
  const auto it = std::find_if(
    list.begin(), list.end(), [&](const Vm& aListed) { return aListed.name == aVm; });
  if (it == list.end()) {
    return CtlError::UnknownVm;
  }
  return *it;
}

} // namespace masticwall
