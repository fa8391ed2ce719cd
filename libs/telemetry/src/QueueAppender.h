#pragma once

#include <log4cplus/appender.h>
#include <telemetry/LineQueue.h>

namespace masticwall {

/** Hands log lines to a LineQueue, so that logging never waits for a reader. */
class QueueAppender : public log4cplus::Appender
{
public:
  QueueAppender(int aFd, std::size_t aMostBytes)
    : mQueue(aFd, aMostBytes)
  {
  }
  ~QueueAppender() override { destructorImpl(); }

  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    mQueue.push(formatEvent(aEvent));
  }

private:
  LineQueue mQueue;
};

} // namespace masticwall
