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

/** Counts and latencies of calls by rank. Thread-safe; lock level Statistics. */
class CallStatistics
{
public:
  void add(const EndedCall& aCall);

  /** Latencies in microseconds, from the call's arrival to its answer. */
  QJsonObject toJson() const;

private:
  struct PerRank
  {
    LatencySummary latency;
    std::map<std::string, std::uint64_t> counts; ///< by outcome, or outcome:reason
  };

  mutable OrderedMutex mMutex{ LockLevel::Statistics };
  std::array<PerRank, kRankCount> mRanks;
};

} // namespace masticwall
