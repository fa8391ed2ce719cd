#pragma once

#include <cstddef>
#include <memory>
#include <string>

namespace masticwall {

/**
 * Writes lines to a file descriptor on a thread of its own, through a bounded queue.
 * push() never blocks on the descriptor: when its reader is slow or has stopped and the
 * queue is full, lines are dropped. The next line written is preceded by an
 * event=lines-dropped line with their number. Thread-safe.
 */
class AsyncLineWriter
{
public:
  /**
   * Writes to `aFd`, which must stay open for the lifetime of the object and is not
   * closed by it. Queues at most `aMaxQueuedBytes` of lines.
   */
  AsyncLineWriter(int aFd, std::size_t aMaxQueuedBytes);

  /**
   * Writes the queued lines and joins the thread. Once 200 ms have passed, gives up as
   * soon as the descriptor has not been writable for 100 ms.
   */
  ~AsyncLineWriter();

  /** Queues `aLine`, which ends with a line break; false if it was dropped. */
  bool push(std::string aLine);

  /** The number of lines dropped so far because the queue was full. */
  std::size_t droppedLines() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
