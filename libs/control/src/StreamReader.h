#pragma once

#include <runtime/TimerService.h>
#include <service/LogClient.h>

namespace masticwall {

/**
 * Reads one stream of the log from its oldest record on, and goes on with new records
 * until it is destroyed. A failed read is retried after 200 ms. Lives on one thread.
 */
class StreamReader
{
public:
  struct Callbacks
  {
    std::function<void(const LogRecord&)> onRecord;
    /** All records up to the head were read. Called after each such read. */
    std::function<void()> onHead;
    /**
     * Records may have been missed: the next one has expired, or the head has moved back.
     * Not called for the first page, which starts at the oldest record.
     */
    std::function<void()> onGap;
    /** Called after each read, with whether it succeeded. */
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
  void processPage(const LogPage& aPage);
  void updateReachable(bool aIsReachable);

  TimerService& mTimers;
  LogClient& mLog;
  std::string mStream;
  Callbacks mCallbacks;
  std::uint64_t mNextOffset = 0;
  bool mHasReadPage = false;
  bool mIsReachable = true;
  TimerHandle mRetryTimer;
};

} // namespace masticwall
