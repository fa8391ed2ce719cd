#pragma once

#include <core/Time.h>
#include <decide/UpstreamAddress.h>
#include <map>
#include <string_view>
#include <vector>

namespace masticwall {

/**
 * The upstream instances that are known to leave. An instance that is marked remains so:
 * lists that call it active, older or newer, do not undo it. Only a mark whose upstream
 * has been out of the list for a long time is forgotten. Not thread-safe.
 *
 * The load that this answers: planned replacements of upstreams, which say that they
 * leave in their responses, earlier than the list does or while it can't be read.
 */
class LeavingInstances
{
public:
  /** Returns false if the instance was marked already. */
  bool mark(const UpstreamAddress& aUpstream, Instant aNow);
  bool contains(const UpstreamAddress& aUpstream) const;

  /** To be called with each new list of upstreams. */
  void onListed(const std::vector<UpstreamAddress>& aListed, Instant aNow);

private:
  struct Key
  {
    std::string name;
    std::string instance;
    auto operator<=>(const Key&) const = default;
  };

  std::map<Key, Instant> mLastListedAt;
};

} // namespace masticwall
