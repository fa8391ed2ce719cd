#include "ControlLink.h"
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
constexpr Duration kNoticeTimeout = std::chrono::seconds(1);

} // namespace

ControlLink::ControlLink(TimerService& aTimers, const EntrySettings& aSettings)
  : mTimers(aTimers)
  , mClient(aTimers,
            QHostAddress(QString::fromStdString(aSettings.common.host)),
            aSettings.controlPort)
{
}

ControlLink::~ControlLink() = default;

void
ControlLink::start(std::function<void(const Feed&)> aOnFeed)
{
  mOnFeed = std::move(aOnFeed);
  askFeed();
}

void
ControlLink::claim(const Claim& aClaim, Instant aDeadline, Verdict aDone)
{
  const auto left = aDeadline - mTimers.now();
  if (left <= Duration{ 0 }) {
    aDone({ aClaim.id, ClaimStanding::Unavailable, {} });
    return;
  }
  mClient.request(
    paths::kClaim,
    encode(aClaim),
    left,
    [this, aClaim, aDeadline, done = std::move(aDone)](const Result<QByteArray>& aReply) {
      if (aReply.has_value()) {
        const auto verdict = decodeClaimVerdict(aReply.value());
        if (verdict.has_value()) {
          done(verdict.value());
          return;
        }
      }
      later(kRetryDelay,
            [this, aClaim, aDeadline, done] { claim(aClaim, aDeadline, done); });
    });
}

void
ControlLink::release(const ClaimId& aId)
{
  mClient.request(paths::kRelease,
                  encode(aId),
                  kReleaseTimeout,
                  [this, aId](const Result<QByteArray>& aReply) {
                    if (aReply.has_error()) {
                      later(kRetryDelay, [this, aId] { release(aId); });
                    }
                  });
}

void
ControlLink::reportLeaving(const std::string& aVm, const std::string& aInstance)
{
  mClient.request(paths::kLeaving,
                  encode(LeavingNotice{ aVm, aInstance }),
                  kNoticeTimeout,
                  [](const Result<QByteArray>&) {});
}

void
ControlLink::reportSuspect(const Suspect& aSuspect, std::function<void()> aDone)
{
  mClient.request(paths::kSuspect,
                  encode(aSuspect),
                  kNoticeTimeout,
                  [done = std::move(aDone)](const Result<QByteArray>&) { done(); });
}

void
ControlLink::askFeed()
{
  mClient.request(paths::kFeed,
                  encode(mHave),
                  kFeedTimeout,
                  [this](const Result<QByteArray>& aReply) { onFeed(aReply); });
}

void
ControlLink::onFeed(const Result<QByteArray>& aReply)
{
  noteConnected(aReply.has_value());
  if (aReply.has_error()) {
    later(kRetryDelay, [this] { askFeed(); });
    return;
  }
  const auto feed = decodeFeed(aReply.value());
  if (feed.has_error()) {
    logEvent(LogEvent::MessageBad, { { "error", feed.error().message() } });
    later(kRetryDelay, [this] { askFeed(); });
    return;
  }
  mHave = { feed.value().version, feed.value().revision, true };
  mOnFeed(feed.value());
  askFeed();
}

void
ControlLink::noteConnected(bool aIsConnected)
{
  if (mIsConnected == aIsConnected) {
    return;
  }
  mIsConnected = aIsConnected;
  // A control process that starts anew counts its revisions from the beginning.
  mHave.revision = 0;
  logEvent(aIsConnected ? LogEvent::ControlFound : LogEvent::ControlLost);
}

void
ControlLink::later(Duration aDelay, std::function<void()> aTask)
{
  const auto id = mNextLater++;
  mLater[id] = mTimers.subscribeIn(aDelay, [this, id, task = std::move(aTask)] {
    const auto callback = task;
    mLater.erase(id);
    callback();
  });
}

} // namespace masticwall
