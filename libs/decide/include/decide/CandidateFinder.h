#pragma once

#include <core/Rank.h>
#include <decide/CandidateFilter.h>
#include <decide/SlowUpstreams.h>
#include <string_view>

namespace masticwall {

/**
 * Finds the upstreams that a call may be sent to now. Not eligible are upstreams that the
 * filter bars, that are not open, that have as many calls as they may get, slow ones
 * between trial calls, and those with a request limit and no permit left.
 */
struct CandidateFinder
{
  const UpstreamStates& states;
  const SlowUpstreams& slowUpstreams;

  /**
   * The eligible upstreams in `aRegion` (empty: in any). Those in back-off are found only
   * if no other is eligible.
   */
  std::vector<UpstreamState*> find(std::string_view aRegion,
                                   const CandidateFilter& aFilter,
                                   Instant aNow) const;

  /** Likewise, and the cold ones without a permit, which take load queries. */
  std::vector<UpstreamState*> findForLoadQueries(const CandidateFilter& aFilter,
                                                 Instant aNow) const;

  /** The upstreams for which permits may be requested; otherwise eligible. */
  std::vector<UpstreamState*> findLimited(Rank aRank,
                                          const CandidateFilter& aFilter,
                                          Instant aNow) const;

private:
  /** Whether the upstream has room for a call that has not tried it. */
  bool hasRoom(const UpstreamState& aState,
               const CandidateFilter& aFilter,
               Instant aNow) const;
};

} // namespace masticwall
