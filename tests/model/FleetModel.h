#pragma once

#include "ModelEntry.h"

namespace masticwall::model {

/**
 * A service, its upstreams and the entry processes in front of them, in virtual time: no
 * processes, threads or network, but the decisions of libs/decide as they are. Calls
 * arrive at random at random entries. Equal plans give equal results.
 */
class FleetModel
{
public:
  explicit FleetModel(const FleetPlan& aPlan);

  /** Runs the load for `aTime`; calls that are still running then are not counted as
   * answered. Call it once. */
  FleetResult run(Duration aTime);

private:
  void scheduleArrival(std::size_t aKind);

  FleetPlan mPlan;
  Preset mPreset;
  VirtualTime mTime;
  std::mt19937_64 mRandom;
  FleetResult mResult;
  std::vector<std::unique_ptr<ModelUpstream>> mUpstreams;
  std::vector<std::unique_ptr<ModelEntry>> mEntries;
  std::vector<std::size_t> mEntryOfCaller;
};

} // namespace masticwall::model
