#pragma once

#include <decide/LimitChange.h>
#include <decide/UpstreamAddress.h>
#include <decide/WarmUpPolicy.h>
#include <map>
#include <utility>
#include <vector>

namespace masticwall {

/**
 * The upstream instances of a service that are cold, as far as this VM knows, by the list
 * of upstreams and by what they state in their responses. Not thread-safe.
 *
 * The load that this answers: two sources that don't agree. The list is up to seconds
 * old, and a response may be a late copy. An instance is cold as soon as either says so.
 * It is warm once the list no longer says that it is cold and the stated time has passed;
 * or before the list says so, if several responses have stated the time that has passed.
 * A later response can only extend that time. An instance that stays listed as cold much
 * longer than its service's warm-up takes is not believed: the list may no longer be
 * updated.
 */
class ColdUpstreams
{
public:
  /** Without a limit in `aPolicy`, all instances count as warm and nothing is kept. */
  void configure(const WarmUpPolicy& aPolicy);

  const WarmUpPolicy& policy() const { return mPolicy; }

  /** To be called with each new list of upstreams. Returns those that have become cold.
   */
  std::vector<UpstreamAddress> onListed(const std::vector<UpstreamAddress>& aListed,
                                        Instant aNow);

  /** A response states that the instance is cold for another `aLeft`. Returns whether it
   * was known to be cold. */
  LimitChange record(const UpstreamAddress& aUpstream, Duration aLeft, Instant aNow);

  /** Until when the instance is cold, by what is known now; maybe in the past. */
  Instant coldUntil(const UpstreamAddress& aUpstream) const;

  /** Whether an upstream, whose last health response came at `aHealthAt`, may have become
   * cold since. */
  bool mustAskAgain(Instant aHealthAt, Instant aNow) const
  {
    return mPolicy.isLimiting() && aNow - aHealthAt > kMaxHealthAge;
  }

  /** True if no instance has been cold lately. */
  bool isEmpty() const { return mEntries.empty(); }

private:
  static constexpr Duration kMaxHealthAge = std::chrono::milliseconds(250);

  using Key = std::pair<std::string, std::string>; ///< name and instance

  struct Entry
  {
    bool isListed = false; ///< as cold
    Instant listedUntil;   ///< the list is believed until then
    Instant statedUntil;   ///< by responses
    int statements = 0;    ///< responses in this warm-up

    Instant coldUntil() const;
  };

  Duration maxListedTime() const;

  WarmUpPolicy mPolicy;
  std::map<Key, Entry> mEntries;
};

} // namespace masticwall
