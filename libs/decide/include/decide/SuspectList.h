#pragma once

#include <core/Digest.h>
#include <core/Time.h>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace masticwall {

/**
 * Tracks requests during which an upstream crashed, and blocks a request after two such
 * crashes. Each process (reporter) counts the crashes that it detects itself, and the
 * counts of all reporters are summed; so crashes that two processes detect at the same
 * time both count. Entries expire, and those created first are evicted when the list is
 * full. Not thread-safe.
 */
class SuspectList
{
public:
  /**
   * Counts a crash that `aReporter` detected during `aRequest`; returns the new count of
   * this reporter.
   */
  int recordCrash(const Digest& aRequest, const std::string& aReporter, Instant aNow);

  /**
   * Raises the count of `aReporter` to `aCrashes`; returns false, and changes no count,
   * if it is that high already.
   */
  bool merge(const Digest& aRequest,
             const std::string& aReporter,
             int aCrashes,
             Instant aNow);

  bool isEmpty() const { return mEntries.empty(); }

  /** True if the request must not be sent to an upstream any more. */
  bool isBlocked(const Digest& aRequest, Instant aNow) const;

private:
  struct Entry
  {
    std::map<std::string, int> crashes; ///< by reporter
    Instant lastCrashAt;
  };

  /** Finds or creates the entry; clears an expired one. May evict another entry. */
  Entry& findOrCreate(const Digest& aRequest, Instant aNow);

  std::unordered_map<Digest, Entry> mEntries;
  std::deque<Digest> mInsertionOrder; ///< keys of `mEntries`, in order of creation
};

} // namespace masticwall
