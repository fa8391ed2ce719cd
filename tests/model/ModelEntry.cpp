#include "ModelEntry.h"

namespace masticwall::model {

namespace {

constexpr int kMaxAttempts = 3;
constexpr int kMaxInFlight = 15;
constexpr int kQueryRounds = 2;
constexpr Duration kMaxReportAge = std::chrono::milliseconds(60);
constexpr Duration kHandshake = std::chrono::milliseconds(1);
constexpr double kWorkSigma = 0.3; ///< of the log-normal work of a call

} // namespace

ModelEntry::ModelEntry(VirtualTime& aTime,
                       const FleetPlan& aPlan,
                       const Preset& aPreset,
                       std::vector<std::unique_ptr<ModelUpstream>>& aUpstreams,
                       FleetResult& aResult,
                       int aIndex)
  : mTime(aTime)
  , mPlan(aPlan)
  , mPreset(aPreset)
  , mUpstreams(aUpstreams)
  , mResult(aResult)
  , mRandom(aPlan.seed * 1000 + static_cast<std::uint64_t>(aIndex))
{
  const auto regionOf = [&](int aDataCentre) {
    return "r" + std::to_string(aDataCentre % aPlan.regions);
  };
  mLocality = aPlan.locality;
  mLocality.region = regionOf(aIndex % aPlan.dataCentres);
  mLocality.dataCentre = std::to_string(aIndex % aPlan.dataCentres);
  for (int i = 0; i < aPlan.upstreams; ++i) {
    UpstreamAddress address;
    address.name = std::to_string(i);
    address.region = regionOf(i % aPlan.dataCentres);
    address.dataCentre = std::to_string(i % aPlan.dataCentres);
    address.slots = aPlan.slots;
    mAddresses.push_back(address);
  }
  mConnections.resize(mAddresses.size());
  mPool.update(mAddresses, aPlan.slots, mTime.now());
  const auto slots = aPlan.upstreams * aPlan.slots;
  mLimit = InFlightLimit::of(aPreset.limits.overcommit, slots, aPlan.entries);
  mAdmission.configure(aPreset.ranks, mLimit.share, aPreset.limits.maxQueueLength);
  mRetryBudget.configure(RetryAllowance::of(aPreset.limits, aPlan.entries, 1));
}

void
ModelEntry::onCall(std::size_t aKind)
{
  const auto& kind = mPlan.kinds[aKind];
  const auto id = mNextCall++;
  auto& call = mCalls[id];
  call.kind = aKind;
  call.request = { id, id, 0, kind.rank, mTime.now() + kind.deadline, mTime.now() };
  std::lognormal_distribution<double> factor(-kWorkSigma * kWorkSigma / 2.0, kWorkSigma);
  call.work = std::chrono::duration<double>(kind.work).count() * factor(mRandom);
  ++mResult.ranks[indexOf(kind.rank)].offered;
  mRetryBudget.recordCall("s", mTime.now(), mRandom);
  mAdmission.setMargin(mPlan.hasMargin && mPool.hasRoom() ? mLimit.margin : 0);
  switch (mAdmission.offer(call.request, mTime.now()).verdict) {
    case AdmissionVerdict::Start:
      start(id);
      return;
    case AdmissionVerdict::Wait:
      return;
    case AdmissionVerdict::Refuse:
      ++mResult.ranks[indexOf(kind.rank)].refused;
      mCalls.erase(id);
      return;
  }
}

void
ModelEntry::start(std::uint64_t aCall)
{
  handleMessage([this, aCall] { queryLoads(aCall); });
}

void
ModelEntry::queryLoads(std::uint64_t aCall)
{
  auto& call = mCalls[aCall];
  const auto round = call.queryRounds++;
  std::vector<UpstreamAddress> stale;
  if (round < kQueryRounds) {
    const auto scope = LoadQueryScope::ofRound(mPreset.limits, round);
    stale = mPool.staleTopCandidates(mLocality,
                                     { kMaxInFlight, call.excluded },
                                     scope,
                                     kMaxReportAge,
                                     mTime.now(),
                                     mRandom);
  }
  if (stale.empty()) {
    send(aCall);
    return;
  }
  mResult.loadQueries += static_cast<int>(stale.size());
  call.pendingQueries = static_cast<int>(stale.size());
  if (mPlan.maxQueryWait != Duration::max()) {
    mTime.after(mPlan.maxQueryWait, [this, aCall, round] {
      handleMessage([this, aCall, round] { finishQueries(aCall, round); });
    });
  }
  for (const auto& it : stale) {
    const auto upstream = std::stoul(it.name);
    handleMessage([this, aCall, round, upstream, sentAt = mTime.now()] {
      mTime.after(takeConnection(upstream), [=, this] {
        const auto report = mUpstreams[upstream]->report();
        mTime.after(oneWayTo(upstream), [=, this] {
          handleMessage([=, this] { onReply(aCall, round, upstream, report, sentAt); });
        });
      });
    });
  }
}

void
ModelEntry::onReply(std::uint64_t aCall,
                    int aRound,
                    std::size_t aUpstream,
                    LoadReport aReport,
                    Instant aSentAt)
{
  const auto& address = mAddresses[aUpstream];
  returnConnection(aUpstream);
  if (mPlan.knowsDistance && address.dataCentre != mLocality.dataCentre &&
      !mPool.hasReport(address)) {
    mLocality.replyTimes.record(address.dataCentre, mTime.now() - aSentAt);
  }
  aReport.receivedAt = mTime.now();
  mPool.reportLoad(address.name, aReport);
  const auto it = mCalls.find(aCall);
  if (it != mCalls.end() && it->second.queryRounds == aRound + 1 &&
      --it->second.pendingQueries == 0) {
    finishQueries(aCall, aRound);
  }
}

void
ModelEntry::finishQueries(std::uint64_t aCall, int aRound)
{
  const auto it = mCalls.find(aCall);
  if (it != mCalls.end() && it->second.queryRounds == aRound + 1) {
    queryLoads(aCall);
  }
}

void
ModelEntry::send(std::uint64_t aCall)
{
  auto& call = mCalls[aCall];
  const auto limit = LatencyLimit::of(mPreset,
                                      mPreset.routes[call.kind],
                                      mPreset.routes[call.kind].rank,
                                      "s",
                                      call.request.arrivedAt,
                                      call.request.deadline,
                                      mTime.now());
  const auto* const chosen = mPool.chooseLowestLatency(
    mLocality, limit, { kMaxInFlight, call.excluded }, mTime.now(), mRandom);
  if (chosen == nullptr) {
    refuse(aCall);
    return;
  }
  mResult.retries += call.attempts > 0 ? 1 : 0;
  ++call.attempts;
  call.queryRounds = 0;
  const auto upstream = std::stoul(chosen->address.name);
  call.excluded.push_back(chosen->address.name);
  ++mResult.sent;
  recordChoice(upstream, chosen->load, call.work);
  const auto run = [this, aCall, upstream, work = call.work, sentAt = mTime.now()] {
    if (mPlan.hangsWhenFull && mUpstreams[upstream]->isFull()) {
      ++mResult.hung;
      mTime.after(mCalls[aCall].request.deadline - mTime.now(),
                  [=, this] { onSilence(aCall, upstream, sentAt); });
      return;
    }
    mUpstreams[upstream]->run(work, [=, this](bool aHasRun) {
      mTime.after(oneWayTo(upstream), [=, this] {
        handleMessage([=, this] {
          returnConnection(upstream);
          onEnd(aCall, upstream, sentAt, aHasRun);
        });
      });
    });
  };
  handleMessage([=, this] { mTime.after(takeConnection(upstream), run); });
}

void
ModelEntry::recordChoice(std::size_t aUpstream, const LoadReport& aReport, double aWork)
{
  const auto age = mTime.now() - aReport.receivedAt;
  mResult.freshChoices += age <= kMaxReportAge ? 1 : 0;
  mResult.reportAge += std::min(1.0, std::chrono::duration<double>(age).count());
  mResult.remoteChoices +=
    mAddresses[aUpstream].dataCentre == mLocality.dataCentre ? 0 : 1;
  auto best = mUpstreams[aUpstream]->timeOf(aWork);
  const auto chosen = best;
  for (const auto& it : mUpstreams) {
    best = std::min(best, it->timeOf(aWork));
  }
  mResult.regret += chosen - best;
}

Duration
ModelEntry::oneWayTo(std::size_t aUpstream) const
{
  const auto& address = mAddresses[aUpstream];
  if (address.region != mLocality.region) {
    return mPlan.otherRegionOneWay;
  }
  return address.dataCentre == mLocality.dataCentre ? mPlan.oneWay
                                                    : mPlan.otherDataCentreOneWay;
}

Duration
ModelEntry::takeConnection(std::size_t aUpstream)
{
  const auto oneWay = oneWayTo(aUpstream);
  if (mPlan.idleClose == Duration{ 0 }) {
    return oneWay;
  }
  auto& connections = mConnections[aUpstream];
  if (mTime.now() - connections.lastUsed > mPlan.idleClose) {
    connections.idle = 0;
  }
  if (connections.idle > 0) {
    --connections.idle;
    return oneWay;
  }
  ++mResult.connections;
  return kHandshake + 3 * oneWay;
}

void
ModelEntry::returnConnection(std::size_t aUpstream)
{
  ++mConnections[aUpstream].idle;
  mConnections[aUpstream].lastUsed = mTime.now();
}

void
ModelEntry::handleMessage(std::function<void()> aTask)
{
  if (mPlan.messageTime == Duration{ 0 }) {
    aTask();
    return;
  }
  mProcessorFreeAt = std::max(mProcessorFreeAt, mTime.now()) + mPlan.messageTime;
  mTime.after(mProcessorFreeAt - mTime.now(), std::move(aTask));
}

void
ModelEntry::onEnd(std::uint64_t aCall,
                  std::size_t aUpstream,
                  Instant aSentAt,
                  bool aHasRun)
{
  const auto& call = mCalls[aCall];
  const auto now = mTime.now();
  const auto name = std::to_string(aUpstream);
  const auto outcome = aHasRun ? AttemptOutcome::Answered : AttemptOutcome::Shed;
  mPool.recordAttemptEnd(name, outcome, now - aSentAt, now);
  mPool.reportLoad(name, mUpstreams[aUpstream]->report());
  if (!aHasRun) {
    ++mResult.shed;
    if (call.attempts < kMaxAttempts && mRetryBudget.tryConsume("s", now)) {
      queryLoads(aCall);
    } else {
      refuse(aCall);
    }
    return;
  }
  auto& rank = mResult.ranks[indexOf(call.request.rank)];
  const auto latency = now - call.request.arrivedAt;
  const bool isInTarget = latency <= mPlan.kinds[call.kind].target;
  const bool isInTime = now < call.request.deadline;
  rank.inTarget += isInTarget ? 1 : 0;
  rank.late += !isInTarget && isInTime ? 1 : 0;
  mCalls.erase(aCall);
  release();
}

void
ModelEntry::onSilence(std::uint64_t aCall, std::size_t aUpstream, Instant aSentAt)
{
  const auto now = mTime.now();
  mPool.recordAttemptEnd(
    mAddresses[aUpstream].name, AttemptOutcome::Failed, now - aSentAt, now);
  mCalls.erase(aCall);
  release();
}

void
ModelEntry::refuse(std::uint64_t aCall)
{
  ++mResult.ranks[indexOf(mCalls[aCall].request.rank)].refused;
  mCalls.erase(aCall);
  release();
}

void
ModelEntry::release()
{
  const auto release = mAdmission.release(mTime.now());
  for (const auto& it : release.expired) {
    ++mResult.ranks[indexOf(it.rank)].refused;
    mCalls.erase(it.call);
  }
  for (const auto& it : release.started) {
    start(it.call);
  }
}

} // namespace masticwall::model
