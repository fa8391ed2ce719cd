#pragma once

#include <core/OrderedMutex.h>
#include <core/Result.h>
#include <decide/Preset.h>
#include <decide/TokenBucket.h>
#include <decide/UpstreamPool.h>
#include <random>
#include <tables/UpstreamChoice.h>
#include <tables/UpstreamQuery.h>
#include <unordered_map>

namespace masticwall {

/**
 * The upstreams of all services, and the budget of this process for traffic on the link,
 * the network between regions; see LinkBudget. Thread-safe; lock level Upstream.
 */
class UpstreamTable
{
public:
  /** `aLocality` is where this process runs; `aSeed` seeds the random choices. */
  UpstreamTable(Locality aLocality, std::uint64_t aSeed);

  /** Applies the list of upstreams, the evacuated data centres and the limits of
   * `aPreset`. */
  void update(const Preset& aPreset,
              const std::vector<UpstreamAddress>& aAddresses,
              const DataCentreNames& aEvacuated,
              Instant aNow);

  /**
   * Chooses an upstream and counts a call on it. With the policy EstimatedLatency,
   * upstreams of all regions compete; with the others the local region comes first, then
   * other regions within the link's budget. Fails with CallError::NoUpstream if no
   * upstream accepts calls, or with CallError::Overload if some do but none was chosen:
   * beyond the query's latency limit or the link's budget.
   */
  Result<UpstreamChoice> choose(const UpstreamQuery& aQuery, Instant aNow);

  /**
   * Of the upstreams with the lowest estimated latency, as many as `aScope` says, those
   * whose last load report is older than `aMaxReportAge`. Their load should be queried
   * before choose().
   */
  std::vector<UpstreamAddress> staleTopCandidates(const UpstreamQuery& aQuery,
                                                  const LoadQueryScope& aScope,
                                                  Duration aMaxReportAge,
                                                  Instant aNow);

  /** Ends a call. `aLatency` is used for answered and failed calls only. */
  void recordAttemptEnd(const UpstreamAddress& aUpstream,
                        AttemptOutcome aOutcome,
                        Duration aLatency,
                        Instant aNow);

  /** Stores a load report of the upstream. */
  void reportLoad(const UpstreamAddress& aUpstream, const LoadReport& aLoad);

  /** A load query was answered after `aTime`. Call it before reportLoad(). */
  void recordReplyTime(const UpstreamAddress& aUpstream, Duration aTime);

  /** See UpstreamPool::hasRoom(); false for an unknown service. */
  bool hasRoom(const std::string& aService) const;

  /** The upstream could not be reached for a load query; no call was sent to it. */
  void reportUnreachable(const UpstreamAddress& aUpstream, Instant aNow);

  /** The upstream's instance is shutting down; calls go to others. Returns false if that
   * was known. */
  bool markLeaving(const UpstreamAddress& aUpstream, Instant aNow);

  /** The upstream's instance wants no requests for `aDuration`; returns when it gets some
   * again. */
  Instant holdOff(const UpstreamAddress& aUpstream, Duration aDuration, Instant aNow);

  /** Applies the request limit that a response states; see UpstreamPool::recordLimit().
   */
  LimitChange recordLimit(const UpstreamAddress& aUpstream,
                          std::optional<double> aPerSecond,
                          Instant aSentAt,
                          Instant aNow);

  /** Applies the time that a response states; see UpstreamPool::recordWarmUp(). */
  LimitChange recordWarmUp(const UpstreamAddress& aUpstream,
                           Duration aLeft,
                           Instant aNow);

  /** The instances that update() has found to be cold since the last call. */
  std::vector<UpstreamAddress> takeNewlyCold();

  /** Whether the upstream's instance takes a load query; see UpstreamState. */
  bool acceptsLoadQuery(const UpstreamAddress& aUpstream, Instant aNow) const;

  /** The upstream for which a permit should be requested before the call is sent; see
   * UpstreamPool::permitCandidate(). */
  std::optional<PermitCandidate> permitCandidate(const UpstreamQuery& aQuery,
                                                 Instant aNow);

  /** Adds the reply to a request for permits; see UpstreamPool::addPermits(). */
  void addPermits(const UpstreamAddress& aUpstream,
                  const PermitGrant& aGrant,
                  Rank aRank,
                  Instant aNow);

  /** Whether the upstream's instance is listed, does not leave, is neither evacuated nor
   * held off, and has no request limit or the request has a permit. */
  bool acceptsRequest(const UpstreamAddress& aUpstream,
                      bool aHasPermit,
                      Instant aNow) const;

  /** Whether any upstream of the service in `aAllowedRegions` may get a call of `aRank`.
   */
  ServiceAvailability availability(const std::string& aService,
                                   Rank aRank,
                                   const AllowedRegions& aAllowedRegions,
                                   Instant aNow) const;

  /** See UpstreamPool::typicalProcessingTime(); zero for an unknown service. */
  Duration typicalProcessingTime(const std::string& aService) const;

  /** The total slots of a service in a region (empty: in all), excluding leaving and
   * evacuated upstreams. */
  int slotsIn(const std::string& aService, const std::string& aRegion) const;

  /** The state of all upstreams, in no particular order. */
  std::vector<UpstreamState> snapshot() const;

private:
  const UpstreamState* chooseByRegion(UpstreamPool& aPool,
                                      const UpstreamQuery& aQuery,
                                      Instant aNow);

  /** A view of `aQuery`, which must outlive it. */
  CandidateFilter filterFor(const UpstreamQuery& aQuery) const;

  /** Takes the query's bytes from the link's budget; false if it is exhausted. */
  bool reserveLinkBytes(const UpstreamQuery& aQuery, Instant aNow);

  mutable OrderedMutex mMutex{ LockLevel::Upstream };
  Locality mLocality;
  std::mt19937_64 mRandom;
  std::unordered_map<std::string, UpstreamPool> mPools;
  LoadBalancingPolicy mPolicy = LoadBalancingPolicy::AgedLoad;
  int mMaxInFlight = 1; ///< calls from this process to one upstream
  LinkBudget mLinkBudget;
  TokenBucket mLinkBucket{ 0, 0 }; ///< tokens are bytes
};

} // namespace masticwall
