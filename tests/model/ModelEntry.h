#pragma once

#include "FleetResult.h"
#include "ModelUpstream.h"
#include <decide/AdmissionQueue.h>
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
    std::vector<std::string> excluded;
  };

  void queryLoads(std::uint64_t aCall);
  void send(std::uint64_t aCall);
  void onEnd(std::uint64_t aCall, std::size_t aUpstream, Instant aSentAt, bool aHasRun);
  void refuse(std::uint64_t aCall);
  void release();

  VirtualTime& mTime;
  const FleetPlan& mPlan;
  const Preset& mPreset;
  std::vector<std::unique_ptr<ModelUpstream>>& mUpstreams;
  FleetResult& mResult;
  std::mt19937_64 mRandom;
  Locality mLocality;
  UpstreamPool mPool;
  AdmissionQueue mAdmission;
  RetryBudget mRetryBudget;
  std::unordered_map<std::uint64_t, Call> mCalls;
  std::uint64_t mNextCall = 1;
};

} // namespace masticwall::model
