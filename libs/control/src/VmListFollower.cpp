#include "VmListFollower.h"
#include <messages/VmListMessage.h>
#include <service/ServiceError.h>
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

constexpr Duration kPeriod = std::chrono::seconds(1);
constexpr Duration kTimeout = std::chrono::seconds(2);

} // namespace

VmListFollower::VmListFollower(TimerService& aTimers,
                               ControlTables& aTables,
                               std::function<void()> aOnChange)
  : mTimers(aTimers)
  , mTables(aTables)
  , mOnChange(std::move(aOnChange))
  , mClient(QUrl(QString::fromStdString(aTables.settings.vmListUrl)))
{
  fetch();
}

void
VmListFollower::fetch()
{
  mClient.fetch(kTimeout, [this](const Result<QByteArray>& aText) {
    onList(aText);
    mNext = mTimers.scheduleAfter(kPeriod, [this] { fetch(); });
  });
}

void
VmListFollower::onList(const Result<QByteArray>& aText)
{
  const bool isSame = aText.has_error() && aText.error() == ServiceError::NotModified;
  noteReachable(aText.has_value() || isSame);
  if (aText.has_error()) {
    return;
  }
  const auto list = parseVmList(aText.value());
  if (list.has_error()) {
    logEvent(LogEvent::MessageBad,
             { { "source", "vm-list" }, { "error", list.error().message() } });
    return;
  }
  if (mTables.membership.putList(list.value())) {
    logEvent(LogEvent::VmListChanged, { { "vms", list.value().size() } });
    mOnChange();
  }
}

void
VmListFollower::noteReachable(bool aIsReachable)
{
  if (mIsReachable != aIsReachable && !aIsReachable) {
    logEvent(LogEvent::VmListUnreachable);
  }
  mIsReachable = aIsReachable;
}

} // namespace masticwall
