#pragma once

#include <core/OrderedMutex.h>
#include <core/Result.h>
#include <decide/Preset.h>
#include <decide/TokenBucket.h>
#include <decide/UpstreamPool.h>
#include <random>
#include <tables/UpstreamChoice.h>
#include <unordered_map>

namespace masticwall {

/** What a worker asks of the table when a call is to be sent. */
struct UpstreamQuery
{
  std::string service;
  Rank rank = Rank::Standard;
  std::size_t bytes = 0; ///< expected on the link, if another region is taken
  std::vector<std::string> excluded;
  LatencyLimit limit; ///< no upstream is chosen that is expected beyond it
};

/**
 * The upstreams of every service, and the byte budget of the link between regions.
 * Thread-safe; lock level Upstream.
 */
class UpstreamTable
{
public:
  UpstreamTable(Locality aLocality, std::uint64_t aSeed);

  /** Takes the list of upstreams and the limits of `aPreset`. */
  void update(const Preset& aPreset,
              const std::vector<UpstreamAddress>& aAddresses,
              Instant aNow);

  /**
   * Chooses an upstream and counts a call on it: by the estimated latency, if that is the
   * preset's policy; otherwise the local region first, then others within the link's
   * budget. Fails with CallError::NoUpstream, or with CallError::Overload if those that
   * there are would take longer than the query allows.
   */
  Result<UpstreamChoice> choose(const UpstreamQuery& aQuery, Instant aNow);

  /**
   * The upstreams whose load should be asked for before choose(), because they are likely
   * to be chosen and their last report is older than `aFreshFor`.
   */
  std::vector<UpstreamAddress> staleFavourites(const UpstreamQuery& aQuery,
                                               std::size_t aCount,
                                               Duration aFreshFor,
                                               Instant aNow);

  void finished(const UpstreamAddress& aUpstream,
                CallEnd aEnd,
                Duration aLatency,
                Instant aNow);
  void reportLoad(const UpstreamAddress& aUpstream, const LoadReport& aLoad);
  void reportUnreachable(const UpstreamAddress& aUpstream, Instant aNow);
  void markLeaving(const UpstreamAddress& aUpstream);

  /** The slots of a service in a region, without those of leaving upstreams. */
  int slotsIn(const std::string& aService, const std::string& aRegion) const;
  std::vector<UpstreamState> snapshot() const;

private:
  const UpstreamState* chooseByRegion(UpstreamPool& aPool,
                                      const UpstreamQuery& aQuery,
                                      Instant aNow);
  bool payForLink(const UpstreamQuery& aQuery, Instant aNow);

  mutable OrderedMutex mMutex{ LockLevel::Upstream };
  Locality mLocality;
  std::mt19937_64 mRandom;
  std::unordered_map<std::string, UpstreamPool> mPools;
  ChoicePolicy mChoice = ChoicePolicy::AgedLoad;
  int mMaxInFlight = 1;
  LinkBudget mLink;
  TokenBucket mLinkBucket{ 0, 0 };
};

} // namespace masticwall
