#pragma once

#include <decide/AdmissionRequest.h>
#include <deque>
#include <optional>
#include <unordered_map>

namespace masticwall {

/**
 * The waiting calls of one tenant, or of one caller without a tenant: round-robin between
 * callers and FIFO for each caller. Not thread-safe.
 */
class CallerTurns
{
public:
  std::size_t size() const { return mSize; }

  void push(const AdmissionRequest& aRequest);

  /** Removes and returns the first call of the next caller; nothing if empty. */
  std::optional<AdmissionRequest> pop();

  /** Removes a call; false if it is not queued. */
  bool remove(std::uint64_t aCall, std::uint64_t aCaller);

  /** Removes and returns the newest call of the caller with the most waiting calls. */
  std::optional<AdmissionRequest> popNewestOfLargestCaller();

  /** The number of waiting calls of one caller, and of the caller that has the most. */
  std::size_t callerSize(std::uint64_t aCaller) const;
  std::size_t maxCallerSize() const;

private:
  void eraseCallerIfEmpty(std::uint64_t aCaller);

  std::unordered_map<std::uint64_t, std::deque<AdmissionRequest>> mByCaller;
  std::deque<std::uint64_t> mRoundRobin; ///< callers with waiting calls, next first
  std::size_t mSize = 0;
};

} // namespace masticwall
