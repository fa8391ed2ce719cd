#pragma once

#include <core/Time.h>
#include <decide/LimitChange.h>
#include <decide/RequestLimit.h>
#include <decide/UpstreamAddress.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticwall {

/**
 * The limits on requests that upstream instances state in their responses: how many a
 * second they take from all VMs together. A limit applies until a later response of the
 * instance states none, whether or not the instance is listed meanwhile. Not thread-safe.
 *
 * The load that this answers: responses of one upstream that arrive out of order. A lower
 * limit applies at once; a higher one, or none, only if the response's request was sent
 * after the current limit became known.
 */
class RequestLimits
{
public:
  /**
   * Applies what a response states: requests a second, or nothing. `aSentAt` is when its
   * request was sent.
   */
  LimitChange record(const UpstreamAddress& aUpstream,
                     std::optional<double> aPerSecond,
                     Instant aSentAt,
                     Instant aNow);

  bool isEmpty() const { return mEntries.empty(); }

  /** The instance's limit; empty if it has none. */
  std::optional<RequestLimit> find(const UpstreamAddress& aUpstream) const;

  /** To be called with each new list of upstreams; forgets instances that have not been
   * listed for a long time. */
  void onListed(const std::vector<UpstreamAddress>& aListed, Instant aNow);

private:
  struct Key
  {
    std::string name;
    std::string instance;
    auto operator<=>(const Key&) const = default;
  };

  struct Entry
  {
    RequestLimit limit;
    double reportedPerSecond = 0.0; ///< the last one that record() reported as a change
    Instant changedAt;
    Instant lastListedAt;
  };

  std::map<Key, Entry> mEntries;
};

} // namespace masticwall
