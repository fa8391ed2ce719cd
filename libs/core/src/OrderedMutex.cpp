#include <core/OrderedMutex.h>
#include <cstdio>
#include <cstdlib>

namespace masticwall {

namespace {

thread_local std::uint32_t tHeldLevels = 0; ///< one bit per LockLevel

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

LockOrderHandler sHandler = abortOnViolation;

std::uint32_t
bitOf(LockLevel aLevel)
{
  return std::uint32_t{ 1 } << static_cast<unsigned>(aLevel);
}

} // namespace

LockOrderHandler
setLockOrderHandler(LockOrderHandler aHandler)
{
  const auto previous = sHandler;
  sHandler = aHandler;
  return previous;
}

void
OrderedMutex::lock()
{
  const auto bit = bitOf(mLevel);
  if (tHeldLevels >= bit) {
    sHandler(mLevel);
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
