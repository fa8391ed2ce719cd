#include "ModelEntry.h"
#include <cmath>

namespace masticwall::model {

namespace {

constexpr Duration kOneWay = std::chrono::milliseconds(1);
constexpr int kMaxAttempts = 3;
constexpr int kMaxInFlight = 15;
constexpr int kQueryRounds = 2;
constexpr Duration kMaxReportAge = std::chrono::milliseconds(60);
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
  mLocality.region = std::string("r");
  mLocality.dataCentre = std::to_string(aIndex % aPlan.dataCentres);
  std::vector<UpstreamAddress> addresses;
  for (int i = 0; i < aPlan.upstreams; ++i) {
    UpstreamAddress address;
    address.name = std::to_string(i);
    address.region = mLocality.region;
    address.dataCentre = std::to_string(i % aPlan.dataCentres);
    address.slots = aPlan.slots;
    addresses.push_back(address);
  }
  mPool.update(addresses, aPlan.slots, mTime.now());
  const auto slots = aPlan.upstreams * aPlan.slots;
  const auto limit = aPreset.limits.overcommit * slots / aPlan.entries;
  mAdmission.configure(
    aPreset.ranks, static_cast<int>(std::ceil(limit)), aPreset.limits.maxQueueLength);
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
  switch (mAdmission.offer(call.request, mTime.now()).verdict) {
    case AdmissionVerdict::Start:
      queryLoads(id);
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
  mTime.after(kOneWay, [this, aCall, stale] {
    std::vector<LoadReport> reports;
    reports.reserve(stale.size());
    for (const auto& it : stale) {
      reports.push_back(mUpstreams[std::stoul(it.name)]->report());
    }
    mTime.after(kOneWay, [this, aCall, stale, reports] {
      for (std::size_t i = 0; i < stale.size(); ++i) {
        auto report = reports[i];
        report.receivedAt = mTime.now();
        mPool.reportLoad(stale[i].name, report);
      }
      queryLoads(aCall);
    });
  });
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
  mTime.after(kOneWay, [this, aCall, upstream, work = call.work, sentAt = mTime.now()] {
    mUpstreams[upstream]->run(work, [=, this](bool aHasRun) {
      mTime.after(kOneWay, [=, this] { onEnd(aCall, upstream, sentAt, aHasRun); });
    });
  });
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
    queryLoads(it.call);
  }
}

} // namespace masticwall::model
