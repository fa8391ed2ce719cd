#include <decide/CandidateFinder.h>
#include <decide/SlowStart.h>

namespace masticwall {

std::vector<UpstreamState*>
CandidateFinder::find(std::string_view aRegion,
                      const CandidateFilter& aFilter,
                      Instant aNow) const
{
  std::vector<UpstreamState*> available;
  std::vector<UpstreamState*> backingOff;
  for (const auto& it : states) {
    const bool isInRegion = aRegion.empty() || it->address.region == aRegion;
    const bool isAvoided =
      aFilter.isOptional && (it->limitAt(aNow).has_value() || it->backOffUntil > aNow);
    if (isInRegion && !isAvoided && it->acceptsRequests(aNow) &&
        hasRoom(*it, aFilter, aNow)) {
      (it->backOffUntil > aNow ? backingOff : available).push_back(it.get());
    }
  }
  return available.empty() ? backingOff : available;
}

std::vector<UpstreamState*>
CandidateFinder::findForLoadQueries(const CandidateFilter& aFilter, Instant aNow) const
{
  std::vector<UpstreamState*> available;
  std::vector<UpstreamState*> backingOff;
  for (const auto& it : states) {
    const bool isOpen = it->acceptsRequests(aNow) || it->acceptsLoadQueries(aNow);
    if (isOpen && hasRoom(*it, aFilter, aNow)) {
      (it->backOffUntil > aNow ? backingOff : available).push_back(it.get());
    }
  }
  return available.empty() ? backingOff : available;
}

std::vector<UpstreamState*>
CandidateFinder::findLimited(Rank aRank,
                             const CandidateFilter& aFilter,
                             Instant aNow) const
{
  std::vector<UpstreamState*> candidates;
  for (const auto& it : states) {
    if (it->mayRequestPermit(aRank, aNow) && it->backOffUntil <= aNow &&
        hasRoom(*it, aFilter, aNow)) {
      candidates.push_back(it.get());
    }
  }
  return candidates;
}

bool
CandidateFinder::hasRoom(const UpstreamState& aState,
                         const CandidateFilter& aFilter,
                         Instant aNow) const
{
  return aFilter.allows(aState.address) && !slowUpstreams.isBetweenTrials(aState, aNow) &&
         aState.inFlight < SlowStart::limit(aState, aFilter.maxInFlight, aNow);
}

} // namespace masticwall
