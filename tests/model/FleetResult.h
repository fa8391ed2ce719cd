#pragma once

#include <array>
#include <core/Rank.h>

namespace masticwall::model {

/** What the callers of one rank got. */
struct RankOutcome
{
  int offered = 0;
  int inTarget = 0; ///< answered within the latency target
  int late = 0;     ///< answered after it
  int refused = 0;  ///< told at once or later that the call has not run

  double inTargetShare() const { return static_cast<double>(inTarget) / offered; }
  double refusedShare() const { return static_cast<double>(refused) / offered; }
};

/** The outcome of a run of FleetModel. */
struct FleetResult
{
  std::array<RankOutcome, kRankCount> ranks;
  int loadQueries = 0;
  int sent = 0;         ///< attempts that reached an upstream
  int shed = 0;         ///< of these, rejected because the upstream was full
  int retries = 0;      ///< attempts after the first of a call
  int hung = 0;         ///< attempts that an upstream never answers
  int connections = 0;  ///< opened
  int freshChoices = 0; ///< attempts at an upstream whose report was at most 60 ms old
  double reportAge = 0; ///< in seconds, summed over the attempts; at most 1 for each
  double regret = 0; ///< in seconds, summed: the time at the upstream beyond the best's
  int remoteChoices = 0; ///< attempts at an upstream of another data centre

  const RankOutcome& of(Rank aRank) const { return ranks[indexOf(aRank)]; }
};

} // namespace masticwall::model
