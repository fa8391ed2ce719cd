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
#include <telemetry/LineQueue.h>
#include <thread>
#include <unistd.h>

namespace masticwall {

namespace {

/** How long the end of the process waits for lines to be written. */
constexpr Duration kFlushTime = std::chrono::milliseconds(200);
constexpr int kPollMs = 100;

} // namespace

struct LineQueue::Impl
{
  int fd;
  std::size_t mostBytes;
  mutable OrderedMutex mutex{ LockLevel::Mailbox };
  std::condition_variable_any changed;
  std::deque<std::string> lines;
  std::size_t bytes = 0;
  std::size_t dropped = 0;
  std::size_t reported = 0;
  bool isEnding = false;
  Instant endBy;
  std::thread writer;

  bool isOutOfTime() const
  {
    std::scoped_lock lock(mutex);
    return isEnding && std::chrono::steady_clock::now() >= endBy;
  }

  /** The next line; waits for one. Empty at the end. */
  std::string take()
  {
    std::unique_lock lock(mutex);
    changed.wait(lock, [this] { return isEnding || !lines.empty(); });
    if (lines.empty()) {
      return {};
    }
    auto line = std::move(lines.front());
    lines.pop_front();
    bytes -= line.size();
    if (dropped > reported) {
      line = "event=lines-dropped lines=" + std::to_string(dropped - reported) + '\n' +
             std::move(line);
      reported = dropped;
    }
    return line;
  }

  /** Writes all of `aLine`, waiting for the reader; false if that was given up. */
  bool write(const std::string& aLine) const
  {
    std::size_t done = 0;
    while (done < aLine.size()) {
      pollfd entry{ fd, POLLOUT, 0 };
      if (poll(&entry, 1, kPollMs) == 0) {
        if (isOutOfTime()) {
          return false;
        }
        continue;
      }
      // At most what a pipe takes whole, so that the write does not wait.
      const auto n = ::write(
        fd, aLine.data() + done, std::min<std::size_t>(aLine.size() - done, PIPE_BUF));
      if (n < 0 && errno != EAGAIN && errno != EINTR) {
        return false;
      }
      done += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    return true;
  }

  void run()
  {
    for (auto line = take(); !line.empty(); line = take()) {
      if (!write(line) && isOutOfTime()) {
        return;
      }
    }
  }
};

LineQueue::LineQueue(int aFd, std::size_t aMostBytes)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->fd = aFd;
  mImpl->mostBytes = aMostBytes;
  mImpl->writer = std::thread([impl = mImpl.get()] { impl->run(); });
}

LineQueue::~LineQueue()
{
  {
    std::scoped_lock lock(mImpl->mutex);
    mImpl->isEnding = true;
    mImpl->endBy = std::chrono::steady_clock::now() + kFlushTime;
  }
  mImpl->changed.notify_all();
  mImpl->writer.join();
}

bool
LineQueue::push(std::string aLine)
{
  {
    std::scoped_lock lock(mImpl->mutex);
    if (mImpl->bytes + aLine.size() > mImpl->mostBytes) {
      ++mImpl->dropped;
      return false;
    }
    mImpl->bytes += aLine.size();
    mImpl->lines.push_back(std::move(aLine));
  }
  mImpl->changed.notify_one();
  return true;
}

std::size_t
LineQueue::dropped() const
{
  std::scoped_lock lock(mImpl->mutex);
  return mImpl->dropped;
}

} // namespace masticwall
