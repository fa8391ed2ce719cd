#include <core/CallError.h>
#include <tables/UpstreamTable.h>

namespace masticwall {

UpstreamTable::UpstreamTable(Locality aLocality, std::uint64_t aSeed)
  : mLocality(std::move(aLocality))
  , mRandom(aSeed)
{
}

void
UpstreamTable::update(const Preset& aPreset,
                      const std::vector<UpstreamAddress>& aAddresses,
                      const DataCentreNames& aEvacuated,
                      Instant aNow)
{
  std::scoped_lock lock(mMutex);
  mPolicy = aPreset.limits.choice;
  mMaxInFlight = aPreset.limits.connectionsPerUpstream;
  mLinkBudget = aPreset.link;
  mLinkBucket.configure(mLinkBudget.bytesPerSecond, mLinkBudget.bytesPerSecond);
  std::unordered_map<std::string_view, std::vector<UpstreamAddress>> byService;
  for (const auto& it : aAddresses) {
    byService[it.service].push_back(it);
  }
  for (auto& [service, pool] : mPools) {
    pool.setEvacuated(aEvacuated, aNow);
  }
  for (const auto& service : aPreset.services) {
    auto& pool = mPools[service.name];
    pool.configureWarmUp(WarmUpPolicy::of(service, aPreset.warmUp));
    pool.setEvacuated(aEvacuated, aNow);
    pool.update(byService[service.name], service.slots, aNow);
  }
}

Result<UpstreamChoice>
UpstreamTable::choose(const UpstreamQuery& aQuery, Instant aNow)
{
  std::scoped_lock lock(mMutex);
  auto& pool = mPools[aQuery.service];
  const auto filter = filterFor(aQuery);
  const auto* const chosen =
    mPolicy == LoadBalancingPolicy::EstimatedLatency
      ? pool.chooseLowestLatency(mLocality, aQuery.limit, filter, aNow, mRandom)
      : chooseByRegion(pool, aQuery, aNow);
  if (chosen == nullptr) {
    return pool.hasCandidate(filter, aNow) ? CallError::Overload : CallError::NoUpstream;
  }
  return UpstreamChoice{
    chosen->address, chosen->load, chosen->inFlight, chosen->limitAt(aNow).has_value()
  };
}

const UpstreamState*
UpstreamTable::chooseByRegion(UpstreamPool& aPool,
                              const UpstreamQuery& aQuery,
                              Instant aNow)
{
  for (const auto& region : aPool.regions(mLocality.region)) {
    if (!aQuery.allowedRegions.allows(region)) {
      continue; // takes nothing from the link's budget
    }
    const bool isLocal = region == mLocality.region;
    if (!isLocal && !reserveLinkBytes(aQuery, aNow)) {
      continue;
    }
    const auto* const chosen =
      aPool.choose(mPolicy, region, filterFor(aQuery), aNow, mRandom);
    if (chosen != nullptr) {
      return chosen;
    }
    if (!isLocal) {
      // No call goes there: return the reserved bytes.
      mLinkBucket.add(static_cast<double>(aQuery.bytes));
    }
  }
  return nullptr;
}

std::vector<UpstreamAddress>
UpstreamTable::staleTopCandidates(const UpstreamQuery& aQuery,
                                  const LoadQueryScope& aScope,
                                  Duration aMaxReportAge,
                                  Instant aNow)
{
  std::scoped_lock lock(mMutex);
  return mPools[aQuery.service].staleTopCandidates(
    mLocality, filterFor(aQuery), aScope, aMaxReportAge, aNow, mRandom);
}

void
UpstreamTable::recordAttemptEnd(const UpstreamAddress& aUpstream,
                                AttemptOutcome aOutcome,
                                Duration aLatency,
                                Instant aNow)
{
  std::scoped_lock lock(mMutex);
  mPools[aUpstream.service].recordAttemptEnd(aUpstream.name, aOutcome, aLatency, aNow);
}

void
UpstreamTable::reportLoad(const UpstreamAddress& aUpstream, const LoadReport& aLoad)
{
  std::scoped_lock lock(mMutex);
  mPools[aUpstream.service].reportLoad(aUpstream.name, aLoad);
}

void
UpstreamTable::recordReplyTime(const UpstreamAddress& aUpstream, Duration aTime)
{
  std::scoped_lock lock(mMutex);
  // Only the first query to an upstream surely opened a connection.
  if (aUpstream.dataCentre != mLocality.dataCentre &&
      !mPools[aUpstream.service].hasReport(aUpstream)) {
    mLocality.replyTimes.record(aUpstream.dataCentre, aTime);
  }
}

bool
UpstreamTable::hasRoom(const std::string& aService) const
{
  std::scoped_lock lock(mMutex);
  const auto it = mPools.find(aService);
  return it != mPools.end() && it->second.hasRoom();
}

void
UpstreamTable::reportUnreachable(const UpstreamAddress& aUpstream, Instant aNow)
{
  std::scoped_lock lock(mMutex);
  mPools[aUpstream.service].reportUnreachable(aUpstream.name, aNow);
}

bool
UpstreamTable::markLeaving(const UpstreamAddress& aUpstream, Instant aNow)
{
  std::scoped_lock lock(mMutex);
  return mPools[aUpstream.service].markLeaving(aUpstream, aNow);
}

Instant
UpstreamTable::holdOff(const UpstreamAddress& aUpstream, Duration aDuration, Instant aNow)
{
  std::scoped_lock lock(mMutex);
  return mPools[aUpstream.service].holdOff(aUpstream, aDuration, aNow, mRandom);
}

LimitChange
UpstreamTable::recordLimit(const UpstreamAddress& aUpstream,
                           std::optional<double> aPerSecond,
                           Instant aSentAt,
                           Instant aNow)
{
  std::scoped_lock lock(mMutex);
  return mPools[aUpstream.service].recordLimit(aUpstream, aPerSecond, aSentAt, aNow);
}

LimitChange
UpstreamTable::recordWarmUp(const UpstreamAddress& aUpstream,
                            Duration aLeft,
                            Instant aNow)
{
  std::scoped_lock lock(mMutex);
  return mPools[aUpstream.service].recordWarmUp(aUpstream, aLeft, aNow);
}

std::vector<UpstreamAddress>
UpstreamTable::takeNewlyCold()
{
  std::scoped_lock lock(mMutex);
  std::vector<UpstreamAddress> all;
  for (auto& [service, pool] : mPools) {
    const auto some = pool.takeNewlyCold();
    all.insert(all.end(), some.begin(), some.end());
  }
  return all;
}

bool
UpstreamTable::acceptsLoadQuery(const UpstreamAddress& aUpstream, Instant aNow) const
{
  std::scoped_lock lock(mMutex);
  const auto it = mPools.find(aUpstream.service);
  return it != mPools.end() && it->second.acceptsLoadQuery(aUpstream, aNow);
}

std::optional<PermitCandidate>
UpstreamTable::permitCandidate(const UpstreamQuery& aQuery, Instant aNow)
{
  std::scoped_lock lock(mMutex);
  return mPools[aQuery.service].permitCandidate(
    mLocality, aQuery.limit, aQuery.rank, filterFor(aQuery), aNow, mRandom);
}

void
UpstreamTable::addPermits(const UpstreamAddress& aUpstream,
                          const PermitGrant& aGrant,
                          Rank aRank,
                          Instant aNow)
{
  std::scoped_lock lock(mMutex);
  mPools[aUpstream.service].addPermits(aUpstream, aGrant, aRank, aNow);
}

bool
UpstreamTable::acceptsRequest(const UpstreamAddress& aUpstream,
                              bool aHasPermit,
                              Instant aNow) const
{
  std::scoped_lock lock(mMutex);
  const auto it = mPools.find(aUpstream.service);
  return it != mPools.end() && it->second.acceptsRequest(aUpstream, aHasPermit, aNow);
}

ServiceAvailability
UpstreamTable::availability(const std::string& aService,
                            Rank aRank,
                            const AllowedRegions& aAllowedRegions,
                            Instant aNow) const
{
  std::scoped_lock lock(mMutex);
  const auto it = mPools.find(aService);
  return it == mPools.end() ? ServiceAvailability{}
                            : it->second.availability(aRank, aNow, aAllowedRegions);
}

Duration
UpstreamTable::typicalProcessingTime(const std::string& aService) const
{
  std::scoped_lock lock(mMutex);
  const auto it = mPools.find(aService);
  return it == mPools.end() ? Duration{ 0 } : it->second.typicalProcessingTime();
}

int
UpstreamTable::slotsIn(const std::string& aService, const std::string& aRegion) const
{
  std::scoped_lock lock(mMutex);
  const auto it = mPools.find(aService);
  return it == mPools.end() ? 0 : it->second.slotsIn(aRegion);
}

std::vector<UpstreamState>
UpstreamTable::snapshot() const
{
  std::scoped_lock lock(mMutex);
  std::vector<UpstreamState> states;
  for (const auto& [service, pool] : mPools) {
    const auto members = pool.snapshot();
    states.insert(states.end(), members.begin(), members.end());
  }
  return states;
}

CandidateFilter
UpstreamTable::filterFor(const UpstreamQuery& aQuery) const
{
  return { mMaxInFlight,
           aQuery.excluded,
           aQuery.allowedRegions,
           aQuery.isOptional,
           aQuery.avoidedDataCentre };
}

bool
UpstreamTable::reserveLinkBytes(const UpstreamQuery& aQuery, Instant aNow)
{
  const bool isUrgent = aQuery.rank == Rank::Urgent;
  const auto reserve =
    isUrgent ? 0.0 : mLinkBudget.urgentReserve * mLinkBudget.bytesPerSecond;
  return mLinkBucket.tryConsume(static_cast<double>(aQuery.bytes), aNow, reserve);
}

} // namespace masticwall
