#include "PeerNotices.h"

namespace masticwall {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(2);

} // namespace

PeerNotices::PeerNotices(TimerService& aTimers, ControlTables& aTables)
  : mTables(aTables)
  , mClients(aTimers)
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
    mClients.of(it.name, it.host, it.controlPort)
      .request(aPath, aBody, kTimeout, [aOnReply, all](const Result<QByteArray>& aReply) {
        if (aReply.has_value()) {
          aOnReply(aReply.value());
        }
      });
  }
}

} // namespace masticwall
