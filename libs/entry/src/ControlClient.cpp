#include "ControlClient.h"
#include <messages/ClaimIdMessage.h>
#include <messages/ClaimMessage.h>
#include <messages/ClaimVerdictMessage.h>
#include <messages/LeavingNotice.h>
#include <messages/Paths.h>
#include <peer/PeerError.h>
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kFeedTimeout = std::chrono::seconds(5);
constexpr Duration kReleaseTimeout = std::chrono::seconds(2);
constexpr Duration kReportTimeout = std::chrono::seconds(1);

} // namespace

ControlClient::ControlClient(TimerService& aTimers, const EntrySettings& aSettings)
  : mTimers(aTimers)
  , mClient(aTimers,
            QHostAddress(QString::fromStdString(aSettings.common.host)),
            aSettings.controlPort)
{
}

ControlClient::~ControlClient() = default;

void
ControlClient::start(std::function<void(const Feed&)> aOnFeed)
{
  mOnFeed = std::move(aOnFeed);
  requestFeed();
}

void
ControlClient::claim(const Claim& aClaim, Instant aDeadline, ClaimCallback aDone)
{
  const auto timeLeft = aDeadline - mTimers.now();
  if (timeLeft <= Duration{ 0 }) {
    aDone({ aClaim.id, ClaimStatus::Unavailable, {} });
    return;
  }
  mClient.request(
    paths::kClaim,
    encode(aClaim),
    timeLeft,
    [this, aClaim, aDeadline, done = std::move(aDone)](const Result<QByteArray>& aReply) {
      if (aReply.has_value()) {
        const auto verdict = decodeClaimVerdict(aReply.value());
        if (verdict.has_value()) {
          done(verdict.value());
          return;
        }
      }
      runAfter(kRetryDelay,
               [this, aClaim, aDeadline, done] { claim(aClaim, aDeadline, done); });
    });
}

void
ControlClient::release(const ClaimId& aId)
{
  mClient.request(paths::kRelease,
                  encode(aId),
                  kReleaseTimeout,
                  [this, aId](const Result<QByteArray>& aReply) {
                    if (aReply.has_error()) {
                      runAfter(kRetryDelay, [this, aId] { release(aId); });
                    }
                  });
}

void
ControlClient::reportLeaving(const std::string& aVm, const std::string& aInstance)
{
  mClient.request(paths::kLeaving,
                  encode(LeavingNotice{ aVm, aInstance }),
                  kReportTimeout,
                  [](const Result<QByteArray>&) {});
}

void
ControlClient::reportSuspect(const SuspectCount& aSuspect, std::function<void()> aDone)
{
  mClient.request(paths::kSuspect,
                  encode(aSuspect),
                  kReportTimeout,
                  [done = std::move(aDone)](const Result<QByteArray>&) { done(); });
}

void
ControlClient::requestFeed()
{
  mClient.request(paths::kFeed,
                  encode(mFeedRequest),
                  kFeedTimeout,
                  [this](const Result<QByteArray>& aReply) { onFeed(aReply); });
}

void
ControlClient::onFeed(const Result<QByteArray>& aReply)
{
  setConnected(aReply.has_value());
  if (aReply.has_error()) {
    runAfter(kRetryDelay, [this] { requestFeed(); });
    return;
  }
  const auto feed = decodeFeed(aReply.value());
  if (feed.has_error()) {
    logEvent(LogEvent::MessageBad, { { "error", feed.error().message() } });
    runAfter(kRetryDelay, [this] { requestFeed(); });
    return;
  }
  mFeedRequest = { feed.value().version, feed.value().revision, true };
  mOnFeed(feed.value());
  requestFeed();
}

void
ControlClient::setConnected(bool aIsConnected)
{
  if (mIsConnected == aIsConnected) {
    return;
  }
  mIsConnected = aIsConnected;
  // A restarted control process counts its revisions from the start again.
  mFeedRequest.revision = 0;
  logEvent(aIsConnected ? LogEvent::ControlFound : LogEvent::ControlLost);
}

void
ControlClient::runAfter(Duration aDelay, std::function<void()> aTask)
{
  const auto id = mNextTaskId++;
  mDelayedTasks[id] = mTimers.scheduleAfter(aDelay, [this, id, task = std::move(aTask)] {
    const auto callback = task;
    mDelayedTasks.erase(id);
    callback();
  });
}

} // namespace masticwall
