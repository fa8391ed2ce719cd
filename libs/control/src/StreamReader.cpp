#include "StreamReader.h"
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

/** How long the log service waits for a new record before it responds to a read. */
constexpr Duration kMaxRecordWait = std::chrono::seconds(1);
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
  const auto wait = mHasReadPage ? kMaxRecordWait : Duration{ 0 };
  mLog.read(
    mStream, mNextOffset, wait, kReadTimeout, [this](const Result<LogPage>& aPage) {
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
  const bool isNextExpired = aPage.first > mNextOffset;
  const bool hasHeadMovedBack = aPage.head < mNextOffset;
  if (mHasReadPage && (isNextExpired || hasHeadMovedBack)) {
    logEvent(
      LogEvent::LogGap,
      { { "stream", mStream }, { "next", mNextOffset }, { "first", aPage.first } });
    mCallbacks.onGap();
  }
  if (isNextExpired) {
    mNextOffset = aPage.first;
  } else if (hasHeadMovedBack) {
    mNextOffset = aPage.head;
  }
  mHasReadPage = true;
  for (const auto& it : aPage.records) {
    if (it.offset >= mNextOffset) {
      mCallbacks.onRecord(it);
      mNextOffset = it.offset + 1;
    }
  }
  if (mNextOffset >= aPage.head) {
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
