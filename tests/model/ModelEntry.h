#pragma once

#include "FleetResult.h"
#include "ModelUpstream.h"
#include <decide/AdmissionQueue.h>
#include <decide/InFlightLimit.h>
#include <decide/LatencyLimit.h>
#include <decide/Preset.h>
#include <decide/RetryBudget.h>
#include <decide/UpstreamPool.h>
#include <memory>
#include <unordered_map>

namespace masticwall::model {

/** An entry process: takes calls through the same decisions as an EntryWorker. */
class ModelEntry
{
public:
  ModelEntry(VirtualTime& aTime,
             const FleetPlan& aPlan,
             const Preset& aPreset,
             std::vector<std::unique_ptr<ModelUpstream>>& aUpstreams,
             FleetResult& aResult,
             int aIndex);

  void onCall(std::size_t aKind);

private:
  struct Call
  {
    std::size_t kind = 0;
    AdmissionRequest request;
    double work = 0.0; ///< in seconds at normal speed
    int attempts = 0;
    int queryRounds = 0;
    int pendingQueries = 0;
    std::vector<std::string> excluded;
  };

  /** Idle connections to an upstream. */
  struct Connections
  {
    int idle = 0;
    Instant lastUsed;
  };

  void start(std::uint64_t aCall);
  void queryLoads(std::uint64_t aCall);
  void onReply(std::uint64_t aCall,
               int aRound,
               std::size_t aUpstream,
               LoadReport aReport,
               Instant aSentAt);
  void finishQueries(std::uint64_t aCall, int aRound);
  void recordChoice(std::size_t aUpstream, const LoadReport& aReport, double aWork);
  Duration oneWayTo(std::size_t aUpstream) const;
  /** The time until a message reaches the upstream, on a kept or new connection. */
  Duration takeConnection(std::size_t aUpstream);
  void returnConnection(std::size_t aUpstream);
  /** Runs `aTask` when this process has handled the messages before it, and this one. */
  void handleMessage(std::function<void()> aTask);
  void send(std::uint64_t aCall);
  void onEnd(std::uint64_t aCall, std::size_t aUpstream, Instant aSentAt, bool aHasRun);
  /** At the deadline of a call whose upstream never answers. */
  void onSilence(std::uint64_t aCall, std::size_t aUpstream, Instant aSentAt);
  void refuse(std::uint64_t aCall);
  void release();

  VirtualTime& mTime;
  const FleetPlan& mPlan;
  const Preset& mPreset;
  std::vector<std::unique_ptr<ModelUpstream>>& mUpstreams;
  FleetResult& mResult;
  std::mt19937_64 mRandom;
  Locality mLocality;
  std::vector<UpstreamAddress> mAddresses;
  std::vector<Connections> mConnections;
  InFlightLimit mLimit;
  Instant mProcessorFreeAt;
  UpstreamPool mPool;
  AdmissionQueue mAdmission;
  RetryBudget mRetryBudget;
  std::unordered_map<std::uint64_t, Call> mCalls;
  std::uint64_t mNextCall = 1;
};

} // namespace masticwall::model
