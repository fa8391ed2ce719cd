#include "StreamReader.h"
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

/** How long the log service waits for a new record before it replies to a read. */
constexpr Duration kMaxWait = std::chrono::seconds(1);
constexpr Duration kReadTimeout = std::chrono::seconds(3);
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);

} // namespace

StreamReader::StreamReader(TimerService& aTimers,
                           LogClient& aLog,
                           std::string aStream,
                           Callbacks aCallbacks)
  : mTimers(aTimers)
  , mLog(aLog)
  , mStream(std::move(aStream))
  , mCallbacks(std::move(aCallbacks))
{
}

void
StreamReader::readNext()
{
  // The first read does not wait for new records, so that onHead is called without delay.
  const auto wait = mHasRead ? kMaxWait : Duration{ 0 };
  mLog.read(mStream, mNext, wait, kReadTimeout, [this](const Result<LogPage>& aPage) {
    onPage(aPage);
  });
}

void
StreamReader::onPage(const Result<LogPage>& aPage)
{
  updateReachable(aPage.has_value());
  if (aPage.has_error()) {
    mRetryTimer = mTimers.scheduleAfter(kRetryDelay, [this] { readNext(); });
    return;
  }
  processPage(aPage.value());
  readNext();
}

void
StreamReader::processPage(const LogPage& aPage)
{
  const bool isNextExpired = aPage.first > mNext;
  const bool hasHeadMovedBack = aPage.head < mNext;
  if (mHasRead && (isNextExpired || hasHeadMovedBack)) {
    logEvent(LogEvent::LogGap,
             { { "stream", mStream }, { "next", mNext }, { "first", aPage.first } });
    mCallbacks.onGap();
  }
  if (isNextExpired) {
    mNext = aPage.first;
  } else if (hasHeadMovedBack) {
    mNext = aPage.head;
  }
  mHasRead = true;
  for (const auto& it : aPage.records) {
    if (it.offset >= mNext) {
      mCallbacks.onRecord(it);
      mNext = it.offset + 1;
    }
  }
  if (mNext >= aPage.head) {
    mCallbacks.onHead();
  }
}

void
StreamReader::updateReachable(bool aIsReachable)
{
  if (mIsReachable != aIsReachable) {
    logEvent(aIsReachable ? LogEvent::LogReachable : LogEvent::LogUnreachable,
             { { "stream", mStream } });
  }
  mIsReachable = aIsReachable;
  mCallbacks.onReachable(aIsReachable);
}

} // namespace masticwall
