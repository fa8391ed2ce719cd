#pragma once

#include <core/LockLevel.h>
#include <mutex>

namespace masticwall {

/**
 * Called with the level of a lock that is about to be acquired out of order. The default
 * prints the level to standard error and aborts the process.
 */
using LockOrderViolationHandler = void (*)(LockLevel aLevel);

/**
 * Replaces the handler and returns the previous one. For tests; not thread-safe, so call
 * it before threads start.
 */
LockOrderViolationHandler
setLockOrderViolationHandler(LockOrderViolationHandler aHandler);

/**
 * A mutex with a level in the global lock order, for use with std::scoped_lock. Every
 * lock() checks that the calling thread holds no lock of the same or a higher level. The
 * check compares one thread-local bit mask and is enabled in release builds too.
 */
class OrderedMutex
{
public:
  explicit OrderedMutex(LockLevel aLevel)
    : mLevel(aLevel)
  {
  }

  void lock();
  void unlock();

private:
  std::mutex mMutex;
  LockLevel mLevel;
};

} // namespace masticwall
