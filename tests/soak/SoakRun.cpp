#include "SoakRun.h"
#include "Wait.h"
#include <csignal>

namespace masticwall::test {

namespace {

constexpr int kStepMs = 10;
constexpr Duration kProbePeriod = 500ms;

/** The balancer takes a gateway out after two checks without success, one a second. */
constexpr Duration kRotationDelay = 2s;

/** An upstream that leaves or drains gets nothing later than this (`drain`), and a margin
 * for requests on their way. */
constexpr Duration kDrainTime = 2s;
constexpr Duration kMargin = 500ms;

/** What an upstream asks for, and for how long a fault of these kinds lasts. */
constexpr Duration kHoldOffTime = 3s;
constexpr Duration kDrainFaultTime = 4s;

/** After the last fault. */
constexpr Duration kMaxRecoveryTime = 15s;
constexpr Duration kRecoveryWindow = 1s;
constexpr double kServedShare = 0.9;

/** The retries that the settings of GatewaySystem allow: a share of the requests, and
 * this many more in each window. */
constexpr double kRetryShare = 0.2;
constexpr double kRetryBurst = 60.0;
constexpr Duration kBudgetWindow = 10s;

bool
promisesNotRun(int aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

bool
isOfUpstream(SoakFault aKind)
{
  switch (aKind) {
    case SoakFault::ShedUpstream:
    case SoakFault::FailUpstream:
    case SoakFault::SlowUpstream:
    case SoakFault::PauseUpstream:
    case SoakFault::CrashUpstream:
    case SoakFault::DrainUpstream:
    case SoakFault::LeaveUpstream:
    case SoakFault::HoldOffUpstream:
      return true;
    default:
      return false;
  }
}

bool
isOfGateway(SoakFault aKind)
{
  return aKind == SoakFault::StopGateway || aKind == SoakFault::ReloadGateway ||
         aKind == SoakFault::PauseGateway || aKind == SoakFault::KillGateway;
}

bool
isOfStore(SoakFault aKind)
{
  return aKind == SoakFault::HangStore || aKind == SoakFault::RefuseStore;
}

} // namespace

SoakRun::SoakRun(SoakPlan aPlan)
  : mPlan(std::move(aPlan))
  , mSystem(mPlan.gateways, mPlan.upstreams)
  , mRandom(mPlan.seed)
  , mGateways(static_cast<std::size_t>(mPlan.gateways))
  , mUpstreams(static_cast<std::size_t>(mPlan.upstreams))
{
}

std::optional<BrokenPromise>
SoakRun::run(const std::function<void(Duration)>& aOnSecond)
{
  if (!mSystem.start()) {
    fail(SoakPromise::ServedAgain, "the system does not start");
    return mBroken;
  }
  mSystem.writeThroughOutages();
  for (int i = 0; i < mPlan.callers; ++i) {
    mCallers.push_back(std::make_unique<SoakCaller>(
      mTimers,
      i,
      mPlan.seed,
      [this] { return chooseGateway(); },
      [this](int aGateway) { return mSystem.gatewayHost(aGateway); },
      [this](const SoakRequest& aRequest) { mRequests.push_back(aRequest); }));
    mCallers.back()->start();
  }
  const auto start = now();
  auto nextProbeAt = start;
  auto nextSecondAt = start;
  std::size_t next = 0;
  Instant calmSince{};
  while (!mBroken.has_value()) {
    runEventsFor(kStepMs);
    const auto elapsed = now() - start;
    while (next < mPlan.faults.size() && mPlan.faults[next].at <= elapsed) {
      const auto& fault = mPlan.faults[next++];
      if (!isBusy(fault)) {
        begin(fault);
      }
    }
    endOverdue();
    watchGateways();
    if (now() >= nextProbeAt) {
      nextProbeAt = now() + kProbePeriod;
      probeConfig();
    }
    if (now() >= nextSecondAt) {
      nextSecondAt = now() + 1s;
      mSystem.keepLogs();
      aOnSecond(elapsed);
    }
    const bool isCalm = elapsed >= mPlan.length && mActive.empty();
    calmSince = !isCalm ? Instant{} : calmSince == Instant{} ? now() : calmSince;
    if (isCalm && now() - calmSince > kRecoveryWindow && isServedAgain()) {
      break;
    }
    if (isCalm && now() - calmSince > kMaxRecoveryTime) {
      fail(SoakPromise::ServedAgain, "not served 15 s after the last fault");
    }
  }
  for (const auto& it : mCallers) {
    it->stop();
  }
  waitUntil([this] {
    return std::all_of(mCallers.begin(), mCallers.end(), [](const auto& aCaller) {
      return aCaller->isIdle();
    });
  });
  checkRequests();
  return mBroken;
}

bool
SoakRun::isBusy(const ScheduledFault& aFault) const
{
  if (isOfGateway(aFault.kind) && aFault.kind != SoakFault::ReloadGateway &&
      mGateways[static_cast<std::size_t>(aFault.target)].isStopping) {
    return true;
  }
  return std::any_of(mActive.begin(), mActive.end(), [&](const ActiveFault& aActive) {
    const auto& other = aActive.fault;
    return (isOfStore(aFault.kind) && isOfStore(other.kind)) ||
           (isOfUpstream(aFault.kind) && isOfUpstream(other.kind) &&
            aFault.target == other.target) ||
           (isOfGateway(aFault.kind) && isOfGateway(other.kind) &&
            aFault.target == other.target);
  });
}

void
SoakRun::begin(const ScheduledFault& aFault)
{
  ++mFigures.faults;
  auto& gateway = mGateways[static_cast<std::size_t>(aFault.target) % mGateways.size()];
  auto lasts = aFault.lasts;
  switch (aFault.kind) {
    case SoakFault::StopGateway:
      gateway.stopRequestedAt = now();
      gateway.isStopping = true;
      gateway.outOfRotationAt = now() + kRotationDelay;
      mSystem.gateway(aFault.target).signal(SIGTERM);
      break;
    case SoakFault::ReloadGateway:
      mSystem.gateway(aFault.target).signal(SIGHUP);
      break;
    case SoakFault::PauseGateway:
      markDisturbed(aFault.target);
      gateway.isPaused = true;
      gateway.outOfRotationAt = now() + kRotationDelay;
      mSystem.gateway(aFault.target).signal(SIGSTOP);
      break;
    case SoakFault::KillGateway:
      markDisturbed(aFault.target);
      gateway.outOfRotationAt = now();
      mSystem.gateway(aFault.target).kill();
      break;
    case SoakFault::HangStore:
      mSystem.setStore("hang=1");
      break;
    case SoakFault::RefuseStore:
      mSystem.setStore("refuse=1");
      break;
    case SoakFault::ChangeConfig:
      mSystem.writeConfig(++mVersion);
      break;
    case SoakFault::HoldOffUpstream:
      lasts = kHoldOffTime;
      beginOnUpstream(aFault);
      break;
    case SoakFault::DrainUpstream:
    case SoakFault::LeaveUpstream:
      lasts = kDrainFaultTime;
      beginOnUpstream(aFault);
      break;
    default:
      beginOnUpstream(aFault);
      break;
  }
  ActiveFault active{ aFault, now() + lasts, Instant::max(), std::nullopt, true };
  if (aFault.kind == SoakFault::HoldOffUpstream) {
    active.checkFrom = now() + 2 * kMargin;
  } else if (aFault.kind == SoakFault::DrainUpstream ||
             aFault.kind == SoakFault::LeaveUpstream) {
    active.checkFrom = now() + kDrainTime + kMargin;
  }
  mActive.push_back(active);
}

void
SoakRun::beginOnUpstream(const ScheduledFault& aFault)
{
  const auto i = aFault.target;
  auto& upstream = mUpstreams[static_cast<std::size_t>(i)];
  switch (aFault.kind) {
    case SoakFault::ShedUpstream:
      mSystem.setUpstream(i, "shedding=1");
      return;
    case SoakFault::FailUpstream:
      mSystem.setUpstream(i, "failing=1");
      return;
    case SoakFault::SlowUpstream:
      mSystem.setUpstream(i, "slow_factor=20");
      return;
    case SoakFault::PauseUpstream:
      mSystem.upstream(i).signal(SIGSTOP);
      return;
    case SoakFault::CrashUpstream:
      mSystem.upstream(i).kill();
      return;
    case SoakFault::DrainUpstream:
      mSystem.listUpstream(i, "draining", upstream.startedMs, ++upstream.sequence);
      return;
    case SoakFault::LeaveUpstream:
      mSystem.setUpstream(i, "leaving=1");
      return;
    case SoakFault::HoldOffUpstream:
      mSystem.setUpstream(i,
                          "shedding=1&retry_after=" +
                            std::to_string(toMilliseconds(kHoldOffTime) / 1000));
      return;
    default:
      return;
  }
}

void
SoakRun::endOverdue()
{
  for (std::size_t i = 0; i < mActive.size();) {
    checkQuiet(mActive[i]);
    if (now() < mActive[i].endsAt) {
      ++i;
      continue;
    }
    const auto active = mActive[i];
    mActive.erase(mActive.begin() + static_cast<std::ptrdiff_t>(i));
    end(active);
  }
}

void
SoakRun::checkQuiet(ActiveFault& aActive)
{
  if (now() < aActive.checkFrom) {
    return;
  }
  const auto requests = mSystem.ledgerOf(aActive.fault.target).requests();
  if (!aActive.requestsBefore.has_value()) {
    aActive.requestsBefore = requests;
    return;
  }
  // The last part of a hold-off is left out: a gateway may have asked a moment earlier.
  const bool isOver = now() > aActive.endsAt - kMargin;
  const bool mustBeQuiet = aActive.isGatewayCalm && !isOver;
  if (mustBeQuiet && requests > *aActive.requestsBefore) {
    const bool isHoldOff = aActive.fault.kind == SoakFault::HoldOffUpstream;
    fail(isHoldOff ? SoakPromise::NothingWhileHeldOff : SoakPromise::NothingAfterLeaving,
         "upstream " + std::to_string(aActive.fault.target) + " got " +
           std::to_string(requests - *aActive.requestsBefore) + " requests during " +
           std::string(nameOf(aActive.fault.kind)));
  }
}

void
SoakRun::end(const ActiveFault& aActive)
{
  const auto i = aActive.fault.target;
  auto& gateway = mGateways[static_cast<std::size_t>(i) % mGateways.size()];
  switch (aActive.fault.kind) {
    case SoakFault::PauseGateway:
      markDisturbed(i);
      gateway.isPaused = false;
      gateway.isAwaitingReady = true;
      mSystem.gateway(i).signal(SIGCONT);
      return;
    case SoakFault::KillGateway:
      markDisturbed(i);
      gateway.version = 0;
      gateway.isAwaitingReady = true;
      mSystem.startGateway(i);
      return;
    case SoakFault::HangStore:
      mSystem.setStore("hang=0");
      return;
    case SoakFault::RefuseStore:
      mSystem.setStore("refuse=0");
      return;
    case SoakFault::ShedUpstream:
      mSystem.setUpstream(i, "shedding=0");
      return;
    case SoakFault::HoldOffUpstream:
      mSystem.setUpstream(i, "shedding=0&retry_after=");
      return;
    case SoakFault::FailUpstream:
      mSystem.setUpstream(i, "failing=0");
      return;
    case SoakFault::SlowUpstream:
      mSystem.setUpstream(i, "slow_factor=1");
      return;
    case SoakFault::PauseUpstream:
      mSystem.upstream(i).signal(SIGCONT);
      return;
    case SoakFault::CrashUpstream:
    case SoakFault::DrainUpstream:
    case SoakFault::LeaveUpstream:
      restartUpstream(i);
      return;
    default:
      return;
  }
}

void
SoakRun::restartUpstream(int aIndex)
{
  auto& upstream = mUpstreams[static_cast<std::size_t>(aIndex)];
  mSystem.upstream(aIndex).kill();
  mSystem.startUpstream(aIndex);
  upstream.startedMs += 1000;
  upstream.sequence = 1;
  mSystem.listUpstream(aIndex, "ready", upstream.startedMs, upstream.sequence);
}

void
SoakRun::markDisturbed(int aGateway)
{
  mGateways[static_cast<std::size_t>(aGateway)].disturbedAt = now();
  for (auto& it : mActive) {
    it.isGatewayCalm = false;
  }
}

void
SoakRun::watchGateways()
{
  for (int i = 0; i < mPlan.gateways; ++i) {
    auto& gateway = mGateways[static_cast<std::size_t>(i)];
    const bool isKilled =
      std::any_of(mActive.begin(), mActive.end(), [i](const ActiveFault& aActive) {
        return aActive.fault.kind == SoakFault::KillGateway && aActive.fault.target == i;
      });
    if (!mSystem.gateway(i).isRunning() && !isKilled) {
      if (!gateway.isStopping) {
        fail(SoakPromise::GatewaysLive, "gateway " + std::to_string(i) + " has ended");
        return;
      }
      gateway.isStopping = false;
      gateway.stoppedAt = now();
      gateway.version = 0;
      gateway.isAwaitingReady = true;
      markDisturbed(i);
      mSystem.startGateway(i);
    }
    const bool mayBeReady = gateway.isAwaitingReady && !gateway.isPaused && !isKilled;
    if (mayBeReady && mSystem.isReady(i)) {
      gateway.isAwaitingReady = false;
      gateway.outOfRotationAt = gateway.isStopping ? now() : Instant::max();
    }
  }
}

int
SoakRun::chooseGateway()
{
  std::vector<int> inRotation;
  for (int i = 0; i < mPlan.gateways; ++i) {
    if (now() < mGateways[static_cast<std::size_t>(i)].outOfRotationAt) {
      inRotation.push_back(i);
    }
  }
  if (inRotation.empty()) {
    return std::uniform_int_distribution<int>(0, mPlan.gateways - 1)(mRandom);
  }
  std::uniform_int_distribution<std::size_t> index(0, inRotation.size() - 1);
  return inRotation[index(mRandom)];
}

void
SoakRun::probeConfig()
{
  for (int i = 0; i < mPlan.gateways; ++i) {
    auto& gateway = mGateways[static_cast<std::size_t>(i)];
    if (gateway.isPaused || gateway.isStopping || gateway.isAwaitingReady ||
        !mSystem.gateway(i).isRunning()) {
      continue;
    }
    const auto serves = [&](int aVersion) {
      const auto answer =
        mSystem.call(i, "GET", "/v" + std::to_string(aVersion) + '/', "probe");
      return answer.has_value() && answer->status == 200;
    };
    if (gateway.version < mVersion && serves(mVersion)) {
      gateway.version = mVersion;
    } else if (gateway.version > 1 && serves(gateway.version - 1)) {
      fail(SoakPromise::ConfigNeverBack,
           "gateway " + std::to_string(i) + " serves version " +
             std::to_string(gateway.version - 1) + " after " +
             std::to_string(gateway.version));
    }
  }
}

bool
SoakRun::isServedAgain()
{
  int asked = 0;
  int served = 0;
  for (auto it = mRequests.rbegin();
       it != mRequests.rend() && now() - it->endedAt < kRecoveryWindow;
       ++it) {
    asked += it->wasGivenUp ? 0 : 1;
    served += it->isOwn ? 1 : 0;
  }
  return asked > mPlan.callers && served >= kServedShare * asked;
}

void
SoakRun::checkRequests()
{
  const auto ledger = mSystem.ledger();
  int retries = 0;
  for (const auto& it : mRequests) {
    const auto runs = ledger.runsOf(it.id);
    const auto arrivals = ledger.arrivalsByKey.find(it.id);
    retries += arrivals == ledger.arrivalsByKey.end() ? 0 : arrivals->second - 1;
    ++mFigures.requests;
    mFigures.served += it.isOwn ? 1 : 0;
    mFigures.refused += promisesNotRun(it.status) ? 1 : 0;
    mFigures.cut += it.status == 0 && !it.wasGivenUp ? 1 : 0;
    if (it.isOrder && runs > 1) {
      fail(SoakPromise::RunsAtMostOnce, "ran " + std::to_string(runs) + " times", it.id);
    }
    if (it.isOrder && promisesNotRun(it.status) && runs > 0) {
      fail(SoakPromise::NotRunIsTrue, "answered " + std::to_string(it.status), it.id);
    }
    if (it.isBroken) {
      fail(SoakPromise::OwnWholeAnswer, "bytes that are no answer", it.id);
    }
    if (it.status == 200 && !it.isOwn) {
      fail(SoakPromise::OwnWholeAnswer, "another answer, or a part of it", it.id);
    }
    checkStops(it, runs);
  }
  const std::chrono::duration<double> length(mPlan.length + kMaxRecoveryTime);
  const auto windows = std::ceil(length / kBudgetWindow);
  const auto allowed =
    kRetryShare * static_cast<double>(mFigures.requests) + kRetryBurst * windows;
  if (retries > allowed) {
    fail(SoakPromise::RetriesWithinBudget,
         std::to_string(retries) + " retries of " + std::to_string(mFigures.requests) +
           " requests");
  }
}

void
SoakRun::checkStops(const SoakRequest& aRequest, int aRuns)
{
  const auto& gateway = mGateways[static_cast<std::size_t>(aRequest.gateway)];
  const bool isCut =
    aRequest.status == 0 && !aRequest.wasGivenUp && !aRequest.isBehindClose && aRuns > 0;
  const bool isInStop = gateway.stoppedAt != Instant{} &&
                        aRequest.endedAt >= gateway.stopRequestedAt &&
                        aRequest.endedAt <= gateway.stoppedAt + kMargin &&
                        aRequest.sentAt <= gateway.stoppedAt;
  // A pause or kill of the gateway since then is a fault of its own.
  const bool isDisturbed = gateway.disturbedAt > gateway.stopRequestedAt &&
                           gateway.disturbedAt < gateway.stoppedAt;
  if (isCut && isInStop && !isDisturbed) {
    fail(SoakPromise::StopCutsNothing,
         "cut by the planned stop of gateway " + std::to_string(aRequest.gateway),
         aRequest.id);
  }
}

void
SoakRun::fail(SoakPromise aPromise, std::string aWhat, std::string aRequest)
{
  if (mBroken.has_value()) {
    return;
  }
  mBroken = BrokenPromise{ aPromise, std::move(aWhat), std::move(aRequest), {} };
  if (!mBroken->request.empty()) {
    mBroken->story = mSystem.explain(mBroken->request);
  }
}

} // namespace masticwall::test
