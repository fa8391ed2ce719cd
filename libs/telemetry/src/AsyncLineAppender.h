#pragma once

#include <log4cplus/appender.h>
#include <telemetry/AsyncLineWriter.h>

namespace masticwall {

/**
 * A log4cplus appender that never blocks on the reader of the log: it writes through an
 * AsyncLineWriter, which drops lines when its queue is full.
 */
class AsyncLineAppender : public log4cplus::Appender
{
public:
  AsyncLineAppender(int aFd, std::size_t aMaxQueuedBytes)
    : mWriter(aFd, aMaxQueuedBytes)
  {
  }
  ~AsyncLineAppender() override { destructorImpl(); }

  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    mWriter.push(formatEvent(aEvent));
  }

private:
  AsyncLineWriter mWriter;
};

} // namespace masticwall
