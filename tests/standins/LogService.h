#pragma once

#include "Options.h"
#include <deque>
#include <http/HttpListener.h>
#include <list>
#include <map>
#include <runtime/TimerService.h>

namespace masticwall::standin {

/**
 * The platform's log service: streams of records with offsets, kept for a limited time.
 * POST /standin?name=value makes it hang, refuse, answer late, lose the answers of
 * appends that took effect, or lose its newest records.
 */
class LogService
{
public:
  LogService(TimerService& aTimers, const Options& aOptions);

  void handle(const http::Request& aRequest, const http::ResponderPtr& aResponder);

private:
  struct Record
  {
    QByteArray data;
    Instant at;
  };
  struct Stream
  {
    std::uint64_t first = 0;
    std::deque<Record> records;

    std::uint64_t head() const { return first + records.size(); }
  };
  struct Reader
  {
    QString stream;
    std::uint64_t from = 0;
    http::ResponderPtr responder;
    TimerHandle timeout;
  };

  void serve(const http::Request& aRequest, const http::ResponderPtr& aResponder);
  void change(const http::Request& aRequest);
  void append(const QString& aStream,
              const std::string& aData,
              const http::ResponderPtr& aResponder);
  void read(const QString& aStream,
            const http::Request& aRequest,
            const http::ResponderPtr& aResponder);
  void wakeReaders(const QString& aStream);
  void expire();
  http::Response page(const QString& aStream, std::uint64_t aFrom) const;

  TimerService& mTimers;
  Duration mRetention;
  std::map<QString, Stream> mStreams;
  std::list<Reader> mReaders;
  std::map<std::uint64_t, TimerHandle> mDelayed;
  std::uint64_t mNextDelayed = 1;
  bool mIsHanging = false;
  bool mIsRefusing = false;
  int mLoseAnswers = 0; ///< appends whose answers are still to be lost
  int mDelayMs = 0;
  std::uint64_t mAppends = 0;
  TimerHandle mExpiry;
};

} // namespace masticwall::standin
