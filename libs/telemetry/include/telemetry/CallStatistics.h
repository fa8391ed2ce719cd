#pragma once

#include <QJsonObject>
#include <core/OrderedMutex.h>
#include <core/Outcome.h>
#include <core/Rank.h>
#include <map>
#include <string>
#include <telemetry/EndedCall.h>
#include <telemetry/LatencySummary.h>

namespace masticwall {

/**
 * Counts and latency percentiles of calls by rank, for the /state page. Thread-safe; lock
 * level Statistics.
 */
class CallStatistics
{
public:
  void add(const EndedCall& aCall);

  /**
   * One object per rank: the counts by EndedCall::result(), and latency percentiles of
   * answered calls in microseconds, from arrival to response.
   */
  QJsonObject toJson() const;

private:
  struct RankStatistics
  {
    LatencySummary latency;
    std::map<std::string, std::uint64_t> counts; ///< by EndedCall::result()
  };

  mutable OrderedMutex mMutex{ LockLevel::Statistics };
  std::array<RankStatistics, kRankCount> mRanks;
};

} // namespace masticwall
