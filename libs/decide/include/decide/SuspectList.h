#pragma once

#include <core/Digest.h>
#include <core/Time.h>
#include <cstddef>
#include <deque>
#include <unordered_map>

namespace masticwall {

/**
 * Requests whose upstream died while it ran them. A request that has taken two upstreams
 * is stopped. Bounded in count and in time. Not thread-safe.
 */
class SuspectList
{
public:
  /** An upstream died while it ran `aRequest`; returns the count after it. */
  int noteDeath(const Digest& aRequest, Instant aNow);

  /** Takes a peer's count where it is higher; true if that changed anything. */
  bool merge(const Digest& aRequest, int aDeaths, Instant aNow);

  bool isEmpty() const { return mEntries.empty(); }

  /** True if the request may not be sent again. */
  bool isStopped(const Digest& aRequest, Instant aNow) const;

private:
  struct Entry
  {
    int deaths = 0;
    Instant last;
  };

  Entry& entryOf(const Digest& aRequest, Instant aNow);

  std::unordered_map<Digest, Entry> mEntries;
  std::deque<Digest> mAges;
};

} // namespace masticwall
