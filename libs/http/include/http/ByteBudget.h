#pragma once

#include <atomic>
#include <core/Bytes.h>
#include <cstddef>
#include <cstdint>

namespace masticwall::http {

/**
 * A limit on bytes that a process holds in memory, over all connections. Of responses, it
 * counts those that are being received, and those that callers have not taken yet:
 * whoever finds it exceeded ends the connection that holds most of them. Of requests'
 * bodies, it is reserved before they are read. Thread-safe, without a lock.
 */
class ByteBudget
{
public:
  explicit ByteBudget(std::size_t aLimit)
    : mLimit(static_cast<std::int64_t>(aLimit))
  {
  }

  bool isExceeded() const { return mUsed > mLimit; }

  /** The most that a single message may take. */
  std::size_t maxMessageBytes() const
  {
    return static_cast<std::size_t>(mLimit) / kMaxMessageDivisor;
  }

  /** Changes the bytes in use. */
  void add(std::int64_t aBytes) { mUsed += aBytes; }

  /** Adds bytes to those in use, unless that would exceed the limit. */
  bool tryAdd(std::int64_t aBytes)
  {
    auto used = mUsed.load();
    while (aBytes <= mLimit - used) {
      if (mUsed.compare_exchange_weak(used, used + aBytes)) {
        return true;
      }
    }
    return false;
  }

  std::int64_t used() const { return mUsed; }

private:
  static constexpr std::size_t kMaxMessageDivisor = 2;

  std::int64_t mLimit;
  std::atomic<std::int64_t> mUsed{ 0 };
};

} // namespace masticwall::http
