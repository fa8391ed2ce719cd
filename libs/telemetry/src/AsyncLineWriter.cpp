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

/** How late the flush timeout may be noticed. */
constexpr int kPollTimeoutMs = 100;

} // namespace

struct AsyncLineWriter::Impl
{
  int fd;
  std::size_t maxBytes;
  mutable OrderedMutex mutex{ LockLevel::Log };
  std::condition_variable_any wakeUp; ///< a line was queued, or stop requested
  std::deque<std::string> lines;
  std::size_t queuedBytes = 0;
  std::size_t dropped = 0;
  std::size_t reportedDropped = 0;
  bool isStopping = false;
  Instant flushDeadline;
  std::thread writer;

  bool isFlushTimedOut() const
  {
    std::scoped_lock lock(mutex);
    return isStopping && std::chrono::steady_clock::now() >= flushDeadline;
  }

  /** Waits for the next line and removes it from the queue. Empty: stop the thread. */
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
    if (dropped > reportedDropped) {
      line = "event=lines-dropped lines=" + std::to_string(dropped - reportedDropped) +
             '\n' + std::move(line);
      reportedDropped = dropped;
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
      if (!write(line) && isFlushTimedOut()) {
        return;
      }
    }
  }
};

AsyncLineWriter::AsyncLineWriter(int aFd, std::size_t aMaxBytes)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->fd = aFd;
  mImpl->maxBytes = aMaxBytes;
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
    if (mImpl->queuedBytes + aLine.size() > mImpl->maxBytes) {
      ++mImpl->dropped;
      return false;
    }
    mImpl->queuedBytes += aLine.size();
    mImpl->lines.push_back(std::move(aLine));
  }
  mImpl->wakeUp.notify_one();
  return true;
}

std::size_t
AsyncLineWriter::dropped() const
{
  std::scoped_lock lock(mImpl->mutex);
  return mImpl->dropped;
}

} // namespace masticwall
