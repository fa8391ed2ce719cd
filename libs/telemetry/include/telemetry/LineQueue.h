#pragma once

#include <cstddef>
#include <memory>
#include <string>

namespace masticwall {

/**
 * Writes lines to a file descriptor from a thread of its own. push() never waits: when
 * the reader at the other end is slow or has stopped, lines are dropped and counted, and
 * the count is written once there is room again. Thread-safe.
 */
class LineQueue
{
public:
  /** Keeps at most `aMostBytes` of lines that are not yet written. */
  LineQueue(int aFd, std::size_t aMostBytes);

  /** Writes what it can within a short while, and ends. */
  ~LineQueue();

  /** Takes a line with its line break; false if it was dropped. */
  bool push(std::string aLine);

  /** Lines dropped so far. */
  std::size_t dropped() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace masticwall
