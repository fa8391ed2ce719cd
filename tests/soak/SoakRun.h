#pragma once

#include "GatewaySystem.h"
#include "SoakCaller.h"
#include "SoakPlan.h"
#include "SoakPromise.h"
#include <QElapsedTimer>
#include <functional>
#include <optional>

namespace masticwall::test {

/** The first promise that did not hold in a soak. */
struct BrokenPromise
{
  SoakPromise promise = SoakPromise::ServedAgain;
  std::string what;
  std::string request; ///< its id; empty if it is not about one request
  QString story;       ///< of the request, by masticwallctl explain
};

/** Figures of a soak, for its report. */
struct SoakFigures
{
  std::size_t requests = 0;
  std::size_t served = 0;
  std::size_t refused = 0; ///< with a promise that they have not run
  std::size_t cut = 0;     ///< no answer
  std::size_t faults = 0;  ///< brought about
};

/**
 * Plays a plan: real gateways, the stand-ins of the store and of upstreams, callers and
 * faults. Some promises are checked while it runs, the others from what callers and
 * upstreams have seen in the end. On the main thread, which runs no event loop meanwhile.
 */
class SoakRun
{
public:
  explicit SoakRun(SoakPlan aPlan);

  /** Returns nothing if all promises held. `aOnSecond` is called about once a second. */
  std::optional<BrokenPromise> run(const std::function<void(Duration)>& aOnSecond);

  const SoakFigures& figures() const { return mFigures; }

private:
  /** A fault that is in force, and how it ends. */
  struct ActiveFault
  {
    ScheduledFault fault;
    Instant endsAt;
    Instant checkFrom; ///< when `requestsBefore` is taken
    std::optional<int> requestsBefore;
    bool isGatewayCalm = true; ///< no gateway was disturbed meanwhile
  };

  /** A gateway's process. */
  struct GatewayState
  {
    bool isPaused = false;
    bool isStopping = false;
    bool isAwaitingReady = false;
    Instant outOfRotationAt = Instant::max();
    Instant stopRequestedAt; ///< of the last planned stop
    Instant stoppedAt;       ///< when it had ended
    Instant disturbedAt;     ///< last paused, killed or restarted
    int version = 0;         ///< highest that was seen in force in this process
  };

  struct UpstreamState
  {
    qint64 startedMs = 1'700'000'000'000;
    int sequence = 1;
  };

  Instant now() const { return mTimers.now(); }
  bool isBusy(const ScheduledFault& aFault) const;
  void begin(const ScheduledFault& aFault);
  void beginOnUpstream(const ScheduledFault& aFault);
  void end(const ActiveFault& aActive);
  void checkQuiet(ActiveFault& aActive);
  void endOverdue();
  void restartUpstream(int aIndex);
  void watchGateways();
  void markDisturbed(int aGateway);
  void probeConfig();
  int chooseGateway();
  bool isServedAgain();
  void checkRequests();
  void checkStops(const SoakRequest& aRequest, int aRuns);
  void fail(SoakPromise aPromise, std::string aWhat, std::string aRequest = {});

  SoakPlan mPlan;
  TimerService mTimers;
  GatewaySystem mSystem;
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<SoakCaller>> mCallers;
  std::vector<GatewayState> mGateways;
  std::vector<UpstreamState> mUpstreams;
  std::vector<ActiveFault> mActive;
  std::vector<SoakRequest> mRequests;
  int mVersion = 1;
  SoakFigures mFigures;
  std::optional<BrokenPromise> mBroken;
};

} // namespace masticwall::test
