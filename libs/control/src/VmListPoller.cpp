#include "VmListPoller.h"
#include <messages/VmListMessage.h>
#include <service/ServiceError.h>
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

constexpr Duration kPollPeriod = std::chrono::seconds(1);
constexpr Duration kFetchTimeout = std::chrono::seconds(2);

} // namespace

VmListPoller::VmListPoller(TimerService& aTimers,
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
VmListPoller::fetch()
{
  mClient.fetch(kFetchTimeout, [this](const Result<QByteArray>& aText) {
    onList(aText);
    mPollTimer = mTimers.scheduleAfter(kPollPeriod, [this] { fetch(); });
  });
}

void
VmListPoller::onList(const Result<QByteArray>& aText)
{
  const bool isNotModified =
    aText.has_error() && aText.error() == ServiceError::NotModified;
  updateReachable(aText.has_value() || isNotModified);
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
VmListPoller::updateReachable(bool aIsReachable)
{
  if (mIsReachable != aIsReachable && !aIsReachable) {
    logEvent(LogEvent::VmListUnreachable);
  }
  mIsReachable = aIsReachable;
}

} // namespace masticwall
