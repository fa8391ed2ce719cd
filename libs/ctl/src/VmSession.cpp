#include "VmSession.h"
#include "Await.h"
#include "CtlError.h"
#include <QJsonDocument>
#include <QUrl>
#include <algorithm>
#include <messages/VmListMessage.h>
#include <service/ServiceHttp.h>
#include <service/VmListClient.h>

namespace masticwall {

namespace {

constexpr Duration kVmListTimeout = std::chrono::seconds(2);
constexpr Duration kVmRequestTimeout = std::chrono::milliseconds(1500);

QUrl
operatorUrl(const Vm& aVm, const QString& aPath)
{
  QUrl url;
  url.setScheme(QStringLiteral("http"));
  url.setHost(QString::fromStdString(aVm.host));
  url.setPort(aVm.operatorPort);
  url.setPath(aPath);
  return url;
}

VmStatus
toStatus(const Vm& aVm, const Result<QByteArray>& aReply)
{
  VmStatus status;
  status.vm = aVm.name;
  if (aReply.has_error()) {
    return status;
  }
  status.state = QJsonDocument::fromJson(aReply.value()).object();
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
  ServiceHttp http;
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
      mImpl->http.get(operatorUrl(vm, QStringLiteral("/state")),
                      kVmRequestTimeout,
                      [vm, statuses, aDone, n = list.size()](const auto& aReply) {
                        statuses->push_back(toStatus(vm, aReply));
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
  auto reply = await<Result<QByteArray>>([&](auto aDone) {
    mImpl->http.get(operatorUrl(vm, QStringLiteral("/state")), kVmRequestTimeout, aDone);
  });
  return reply.has_error() ? CtlError::VmUnreachable : std::move(reply);
}

Result<void>
VmSession::drain(const std::string& aVm)
{
  BOOST_OUTCOME_TRY(vm, find(aVm));
  const auto reply = await<Result<QByteArray>>([&](auto aDone) {
    mImpl->http.post(
      operatorUrl(vm, QStringLiteral("/drain")), {}, kVmRequestTimeout, aDone);
  });
  if (reply.has_error()) {
    return CtlError::VmUnreachable;
  }
  return success();
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
