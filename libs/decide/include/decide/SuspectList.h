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
 * Requests whose upstream died while it ran them. A request that has taken two upstreams
 * is stopped. Each process counts the deaths that it saw; the counts of all are added,
 * so that deaths seen at the same moment are not taken for one. Bounded in count and in
 * time. Not thread-safe.
 */
class SuspectList
{
public:
  /** `aReporter` saw an upstream die while it ran `aRequest`; returns its own count. */
  int noteDeath(const Digest& aRequest, const std::string& aReporter, Instant aNow);

  /** Takes a reporter's count if it is higher; true if that changed anything. */
  bool merge(const Digest& aRequest,
             const std::string& aReporter,
             int aDeaths,
             Instant aNow);

  bool isEmpty() const { return mEntries.empty(); }

  /** True if the request may not be sent again. */
  bool isStopped(const Digest& aRequest, Instant aNow) const;

private:
  struct Entry
  {
    std::map<std::string, int> deaths; ///< by reporter
    Instant last;
  };

  Entry& entryOf(const Digest& aRequest, Instant aNow);

  std::unordered_map<Digest, Entry> mEntries;
  std::deque<Digest> mAges;
};

} // namespace masticwall
