#pragma once

#include <runtime/TimerService.h>
#include <service/LogClient.h>

namespace masticwall {

/**
 * Follows one stream of the log from its oldest record on, for as long as it lives.
 * Lives on one thread.
 */
class StreamReader
{
public:
  struct Callbacks
  {
    std::function<void(const LogRecord&)> onRecord;
    /** The head was reached, again with every read. */
    std::function<void()> onHead;
    /** Records that this reader has not seen are gone. */
    std::function<void()> onGap;
    std::function<void(bool aIsReachable)> onReachable;
  };

  StreamReader(TimerService& aTimers,
               LogClient& aLog,
               std::string aStream,
               Callbacks aCallbacks);

  void start() { readNext(); }

private:
  void readNext();
  void onPage(const Result<LogPage>& aPage);
  void take(const LogPage& aPage);
  void noteReachable(bool aIsReachable);

  TimerService& mTimers;
  LogClient& mLog;
  std::string mStream;
  Callbacks mCallbacks;
  std::uint64_t mNext = 0;
  bool mHasRead = false;
  bool mIsReachable = true;
  TimerHandle mRetry;
};

} // namespace masticwall
