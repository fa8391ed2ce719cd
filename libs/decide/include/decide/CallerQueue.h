#pragma once

#include <decide/Ticket.h>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace masticwall {

/**
 * The waiting calls of one rank, served round-robin between callers and first-in
 * first-out within a caller. Not thread-safe.
 */
class CallerQueue
{
public:
  std::size_t size() const { return mSize; }
  std::size_t sizeOf(std::uint64_t aCaller) const;
  void push(const Ticket& aTicket);
  std::optional<Ticket> pop();

  /** Removes a call; false if it does not wait here. */
  bool remove(std::uint64_t aCall, std::uint64_t aCaller);

  /** Removes and returns the newest call of the caller with the most waiting calls. */
  std::optional<Ticket> popNewestOfLongest();

  /** The most calls that any one caller has waiting. */
  std::size_t longest() const;

private:
  void dropIfEmpty(std::uint64_t aCaller);

  std::unordered_map<std::uint64_t, std::deque<Ticket>> mByCaller;
  std::deque<std::uint64_t> mTurns; ///< callers with waiting calls, next first
  std::size_t mSize = 0;
};

} // namespace masticwall
