#pragma once

#include <core/LockLevel.h>
#include <mutex>

namespace masticwall {

/** Told of a lock taken out of order; the default ends the process. */
using LockOrderHandler = void (*)(LockLevel aWanted);

/**
 * Replaces the handler and returns the one before it. For tests; not thread-safe, call
 * it before threads start.
 */
LockOrderHandler
setLockOrderHandler(LockOrderHandler aHandler);

/**
 * A mutex of a stated level, for use with std::scoped_lock. Every lock() checks that the
 * calling thread holds no lock of the same or a higher level; the check is one
 * thread-local bit mask and stays on in every build.
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
