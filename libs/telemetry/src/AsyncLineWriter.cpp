#include <algorithm>
#include <cerrno>
#include <climits>
#include <condition_variable>
#include <core/OrderedMutex.h>
#include <core/Time.h>
#include <deque>
#include <fcntl.h>
#include <mutex>
#include <poll.h>
#include <telemetry/AsyncLineWriter.h>
#include <thread>
#include <unistd.h>

namespace masticwall {

namespace {

/** How long the destructor waits for queued lines to be written. */
constexpr Duration kFlushTimeout = std::chrono::milliseconds(200);

/** Timeout of one poll(), after which the flush timeout is checked. */
constexpr int kPollTimeoutMs = 100;

} // namespace

struct AsyncLineWriter::Impl
{
  int fd;
  std::size_t maxQueuedBytes;
  mutable OrderedMutex mutex{ LockLevel::Log };
  std::condition_variable_any wakeUp; ///< a line was queued, or stop requested
  std::deque<std::string> lines;
  std::size_t queuedBytes = 0;
  std::size_t droppedLines = 0;
  std::size_t reportedDroppedLines = 0;
  bool isStopping = false;
  Instant flushDeadline;
  std::thread writer;

  bool isFlushTimedOut() const
  {
    std::scoped_lock lock(mutex);
    return isStopping && std::chrono::steady_clock::now() >= flushDeadline;
  }

  /**
   * Waits for the next line and removes it from the queue. Returns an empty string once
   * the queue is empty and the thread is to stop.
   */
  std::string popLine()
  {
    std::unique_lock lock(mutex);
    wakeUp.wait(lock, [this] { return isStopping || !lines.empty(); });
    if (lines.empty()) {
      return {};
    }
    auto line = std::move(lines.front());
    lines.pop_front();
    queuedBytes -= line.size();
    if (droppedLines > reportedDroppedLines) {
      line = "event=lines-dropped lines=" +
             std::to_string(droppedLines - reportedDroppedLines) + '\n' + std::move(line);
      reportedDroppedLines = droppedLines;
    }
    return line;
  }

  /** Writes all of `aLine`; false after a write error or the flush timeout. */
  bool write(const std::string& aLine) const
  {
    std::size_t written = 0;
    while (written < aLine.size()) {
      pollfd request{ fd, POLLOUT, 0 };
      if (poll(&request, 1, kPollTimeoutMs) == 0) {
        if (isFlushTimedOut()) {
          return false;
        }
        continue;
      }
      // POLLOUT means that a pipe has room for PIPE_BUF bytes; writing more could block.
      const auto n = ::write(fd,
                             aLine.data() + written,
                             std::min<std::size_t>(aLine.size() - written, PIPE_BUF));
      if (n < 0 && errno != EAGAIN && errno != EINTR) {
        return false;
      }
      written += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    return true;
  }

  void run()
  {
    for (auto line = popLine(); !line.empty(); line = popLine()) {
      // After a write error, the rest of the line is lost and the next one is tried.
      if (!write(line) && isFlushTimedOut()) {
        return;
      }
    }
  }
};

AsyncLineWriter::AsyncLineWriter(int aFd, std::size_t aMaxQueuedBytes)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->fd = aFd;
  mImpl->maxQueuedBytes = aMaxQueuedBytes;
  mImpl->writer = std::thread([impl = mImpl.get()] { impl->run(); });
}

AsyncLineWriter::~AsyncLineWriter()
{
  {
    std::scoped_lock lock(mImpl->mutex);
    mImpl->isStopping = true;
    mImpl->flushDeadline = std::chrono::steady_clock::now() + kFlushTimeout;
  }
  mImpl->wakeUp.notify_all();
  mImpl->writer.join();
}

bool
AsyncLineWriter::push(std::string aLine)
{
  {
    std::scoped_lock lock(mImpl->mutex);
    if (mImpl->queuedBytes + aLine.size() > mImpl->maxQueuedBytes) {
      ++mImpl->droppedLines;
      return false;
    }
    mImpl->queuedBytes += aLine.size();
    mImpl->lines.push_back(std::move(aLine));
  }
  mImpl->wakeUp.notify_one();
  return true;
}

std::size_t
AsyncLineWriter::droppedLines() const
{
  std::scoped_lock lock(mImpl->mutex);
  return mImpl->droppedLines;
}

} // namespace masticwall
