#pragma once

#include <atomic>
#include <core/Bytes.h>
#include <cstddef>
#include <cstdint>

namespace masticwall::http {

/**
 * A limit on the bytes of responses that a process holds in memory, over all connections:
 * of those that are being received, and of those that callers have not taken yet. Whoever
 * finds it exceeded ends the connection that holds most of them.
 * Thread-safe, without a lock.
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

private:
  static constexpr std::size_t kMaxMessageDivisor = 2;

  std::int64_t mLimit;
  std::atomic<std::int64_t> mUsed{ 0 };
};

} // namespace masticwall::http
