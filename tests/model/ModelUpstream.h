#pragma once

#include "FleetPlan.h"
#include "VirtualTime.h"
#include <decide/LoadReport.h>
#include <deque>
#include <random>

namespace masticwall::model {

/**
 * An upstream with slots and a queue, on a host whose speed changes at random and that is
 * slower at high load.
 */
class ModelUpstream
{
public:
  using Done = std::function<void(bool aHasRun)>;

  ModelUpstream(VirtualTime& aTime, const FleetPlan& aPlan, std::uint64_t aSeed);

  /** Runs a call of `aWork` seconds, after those that wait; or rejects it at once. */
  void run(double aWork, Done aDone);

  LoadReport report() const;

  /** The time that a call of `aWork` seconds would take if nothing changed. */
  double timeOf(double aWork) const;

  bool isFull() const;

private:
  struct Call
  {
    double workLeft; ///< in seconds at normal speed
    Done done;
  };

  void scheduleSpeedChange();
  void advance();
  void startQueued();
  void scheduleNextEnd();
  double speed() const;

  VirtualTime& mTime;
  const FleetPlan& mPlan;
  std::mt19937_64 mRandom;
  bool mIsSlow = false;
  std::vector<Call> mRunning;
  std::deque<Call> mQueued;
  Instant mAdvancedAt;
  std::uint64_t mNextEnd = 0; ///< identifies the scheduled end that is still valid
};

} // namespace masticwall::model
