#include "PeerNotices.h"

namespace masticwall {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(2);

} // namespace

PeerNotices::PeerNotices(TimerService& aTimers, ControlTables& aTables)
  : mTimers(aTimers)
  , mTables(aTables)
{
}

void
PeerNotices::tellAll(const std::string& aPath,
                     const QByteArray& aBody,
                     std::function<void()> aDone)
{
  askAll(
    aPath, aBody, [](const QByteArray&) {}, std::move(aDone));
}

void
PeerNotices::askAll(const std::string& aPath,
                    const QByteArray& aBody,
                    const std::function<void(const QByteArray&)>& aOnReply,
                    std::function<void()> aDone)
{
  // Called when the last request lets go of it.
  const std::shared_ptr<void> all(nullptr, [done = std::move(aDone)](void*) { done(); });
  for (const auto& it : mTables.membership.current()) {
    if (it.role != VmRole::Masticwall || it.name == mTables.settings.common.vm) {
      continue;
    }
    clientOf(it).request(
      aPath, aBody, kTimeout, [aOnReply, all](const Result<QByteArray>& aReply) {
        if (aReply.has_value()) {
          aOnReply(aReply.value());
        }
      });
  }
}

PeerClient&
PeerNotices::clientOf(const Vm& aVm)
{
  auto& known = mClients[aVm.name];
  if (known.client == nullptr || known.host != aVm.host ||
      known.port != aVm.controlPort) {
    known = { aVm.host,
              aVm.controlPort,
              std::make_unique<PeerClient>(mTimers,
                                           QHostAddress(QString::fromStdString(aVm.host)),
                                           aVm.controlPort) };
  }
  return *known.client;
}

} // namespace masticwall
