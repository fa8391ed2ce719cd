#include "StreamReader.h"
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

constexpr Duration kWait = std::chrono::seconds(1);    ///< at the log's side
constexpr Duration kTimeout = std::chrono::seconds(3); ///< of one read
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
  // The first read only learns where the head is.
  const auto wait = mHasRead ? kWait : Duration{ 0 };
  mLog.read(mStream, mNext, wait, kTimeout, [this](const Result<LogPage>& aPage) {
    onPage(aPage);
  });
}

void
StreamReader::onPage(const Result<LogPage>& aPage)
{
  noteReachable(aPage.has_value());
  if (aPage.has_error()) {
    mRetry = mTimers.scheduleAfter(kRetryDelay, [this] { readNext(); });
    return;
  }
  take(aPage.value());
  readNext();
}

void
StreamReader::take(const LogPage& aPage)
{
  const bool isBehind = aPage.first > mNext;
  const bool isTruncated = aPage.head < mNext;
  if (mHasRead && (isBehind || isTruncated)) {
    logEvent(LogEvent::LogGap,
             { { "stream", mStream }, { "next", mNext }, { "first", aPage.first } });
    mCallbacks.onGap();
  }
  if (isBehind) {
    mNext = aPage.first;
  } else if (isTruncated) {
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
StreamReader::noteReachable(bool aIsReachable)
{
  if (mIsReachable != aIsReachable) {
    logEvent(aIsReachable ? LogEvent::LogReachable : LogEvent::LogUnreachable,
             { { "stream", mStream } });
  }
  mIsReachable = aIsReachable;
  mCallbacks.onReachable(aIsReachable);
}

} // namespace masticwall
