#pragma once

#include <algorithm>
#include <core/Digest.h>
#include <core/RandomSource.h>
#include <core/Time.h>
#include <cstddef>
#include <decide/SuspectCount.h>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticwall {

/**
 * Tracks requests during which an upstream crashed, and blocks a request after two such
 * crashes. Each process (reporter) counts the crashes that it detects itself, and the
 * counts of all reporters are summed; so crashes that two processes detect at the same
 * time both count. Not thread-safe.
 *
 * The load that this answers: a request that crashes each upstream that runs it and comes
 * again and again, beside requests that are in flight everywhere and so are also at hand
 * when upstreams crash for other reasons. A request that an upstream has run to its end
 * is cleared: its crashes up to then no longer count. So that a blocked request can be
 * cleared, one call with it is let through now and then, less and less often.
 *
 * Counts expire some time after the last crash. Entries that were created first are
 * evicted when the list is full.
 */
class SuspectList
{
public:
  /**
   * Counts a crash that `aReporter` detected during `aRequest`; returns the reporter's
   * counts.
   */
  SuspectCount recordCrash(const Digest& aRequest,
                           const std::string& aReporter,
                           Instant aNow);

  /** Raises the counts of a reporter; returns false if they were as high already. */
  bool merge(const SuspectCount& aCount, Instant aNow);

  /**
   * An upstream has run the request to its end. Returns the counts that this has changed
   * if the request was blocked: other processes need them to let it through again.
   */
  std::vector<SuspectCount> recordSuccess(const Digest& aRequest, Instant aNow);

  /** True if no request has crashes that count. */
  bool isEmpty() const { return mOpenEntries == 0; }

  /** True if the request must not be sent to an upstream any more. */
  bool isBlocked(const Digest& aRequest, Instant aNow) const;

  /**
   * For a blocked request: whether this call may be sent all the same, as a trial. The
   * `aProcesses` that block it make about one trial in a period together.
   */
  template<RandomSource R>
  bool tryTakeTrial(const Digest& aRequest, int aProcesses, Instant aNow, R& aRandom)
  {
    const auto it = mEntries.find(aRequest);
    if (it == mEntries.end()) {
      return false;
    }
    auto& entry = it->second;
    const auto period = kTrialPeriod * (1 << entry.trialPeriods);
    if (entry.nextTrialAt == Instant{}) {
      entry.nextTrialAt = aNow + period;
    }
    if (aNow < entry.nextTrialAt) {
      return false;
    }
    entry.trialPeriods = std::min(entry.trialPeriods + 1, kMaxTrialDoublings);
    entry.nextTrialAt = aNow + 2 * period;
    // One trial in each period is expected, by whichever process.
    return std::uniform_int_distribution<int>(1, std::max(1, aProcesses))(aRandom) == 1;
  }

  /** The counts of all requests with crashes that count, for a process that starts. */
  std::vector<SuspectCount> openCounts(Instant aNow) const;

private:
  /** The first period of a block; each further one is twice as long. */
  static constexpr Duration kTrialPeriod = std::chrono::seconds(30);
  static constexpr int kMaxTrialDoublings = 6;

  struct Counts
  {
    int crashes = 0;
    int cleared = 0;
  };

  struct Entry
  {
    std::map<std::string, Counts> byReporter;
    Instant lastCrashAt;
    Instant nextTrialAt;  ///< the end of a period; Instant{} until a call is refused
    int trialPeriods = 0; ///< that have ended

    int openCrashes() const;
  };

  /** Finds or creates the entry; clears an expired one. May evict another entry. */
  Entry& findOrCreate(const Digest& aRequest, Instant aNow);
  void clear(Entry& aEntry);

  /** Updates `mOpenEntries` after a change; `aWasOpen` is the state before. */
  void updateOpen(const Entry& aEntry, bool aWasOpen);
  void clearExpired(Instant aNow);

  std::unordered_map<Digest, Entry> mEntries;
  std::deque<Digest> mInsertionOrder; ///< keys of `mEntries`, in order of creation
  std::size_t mOpenEntries = 0;       ///< with crashes that count
};

} // namespace masticwall
