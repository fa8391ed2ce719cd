#include <core/OrderedMutex.h>
#include <cstdio>
#include <cstdlib>

namespace masticwall {

namespace {

thread_local std::uint32_t tHeldLevels = 0; ///< bit n is set: level n is held

void
abortOnViolation(LockLevel aLevel)
{
  const auto name = nameOf(aLevel);
  std::fprintf(stderr,
               "event=lock-order-violated wanted=%.*s\n",
               static_cast<int>(name.size()),
               name.data());
  std::abort();
}

LockOrderViolationHandler sViolationHandler = abortOnViolation;

std::uint32_t
bitOf(LockLevel aLevel)
{
  return std::uint32_t{ 1 } << static_cast<unsigned>(aLevel);
}

} // namespace

LockOrderViolationHandler
setLockOrderViolationHandler(LockOrderViolationHandler aHandler)
{
  const auto previous = sViolationHandler;
  sViolationHandler = aHandler;
  return previous;
}

void
OrderedMutex::lock()
{
  const auto bit = bitOf(mLevel);
  // A mask is at least `bit` if and only if it has a bit of this level or a higher one.
  if (tHeldLevels >= bit) {
    sViolationHandler(mLevel);
  }
  mMutex.lock();
  tHeldLevels |= bit;
}

void
OrderedMutex::unlock()
{
  tHeldLevels &= ~bitOf(mLevel);
  mMutex.unlock();
}

} // namespace masticwall
