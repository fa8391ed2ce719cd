#include "EntryWorker.h"
#include "CallNumber.h"
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

/** As many VMs again may have been added or restarted as are listed. */
constexpr int kMembershipMargin = 2;
constexpr int kFewestConnections = 2;

/** Refused callers are asked back at different times within this span. */
constexpr Duration kFirstReturn = std::chrono::milliseconds(50);
constexpr Duration kLastReturn = std::chrono::milliseconds(250);
constexpr Duration kGaugePeriod = std::chrono::milliseconds(250);

} // namespace

Result<std::unique_ptr<EntryWorker>>
EntryWorker::create(EntryHub& aHub, std::uint32_t aIndex)
{
  auto worker = std::unique_ptr<EntryWorker>(new EntryWorker(aHub, aIndex));
  auto* const raw = worker.get();
  const auto& settings = aHub.tables.settings;
  http::FrontSettings limits;
  limits.requestTimeout = settings.requestTimeout;
  limits.idleTimeout = settings.idleTimeout;
  auto front = http::FrontListener::listen(
    raw->mTimers,
    QHostAddress(QString::fromStdString(settings.common.host)),
    settings.port,
    limits,
    [raw](http::Request aRequest, http::ResponderPtr aResponder) {
      raw->onRequest(std::move(aRequest), std::move(aResponder));
    },
    aHub.dialect.encodeUnreadable);
  if (front.has_error()) {
    return front.error();
  }
  worker->mFront = std::move(front.value());
  worker->mGaugeTimer =
    raw->mTimers.subscribeEvery(kGaugePeriod, [raw] { raw->updateGauges(); });
  return worker;
}

EntryWorker::EntryWorker(EntryHub& aHub, std::uint32_t aIndex)
  : mHub(aHub)
  , mTables(aHub.tables)
  , mIndex(aIndex)
  , mBack(mTimers, 1)
  , mRandom(aHub.tables.incarnation + aIndex)
{
}

EntryWorker::~EntryWorker() = default;

void
EntryWorker::onPreset()
{
  const auto preset = mTables.presets.current();
  if (preset == nullptr) {
    return;
  }
  const auto& limits = preset->limits;
  const int workers = mTables.settings.workers;
  const int entries = limits.areShared ? mTables.entryCount.load() : 1;
  const int sharers = entries * workers * (limits.areShared ? kMembershipMargin : 1);
  mBack.setConnectionsPerUpstream(
    std::max(kFewestConnections, limits.connectionsPerUpstream / (entries * workers)));
  // Without the margin: the budget holds over a day, not over each moment.
  const auto asked =
    preset->measuring.probesPerSecond * mTables.upstreamCount / (entries * workers);
  if (mLoadQueries.has_value()) {
    mLoadQueries->configure(asked, asked);
  } else {
    // Full at first: a process that has just started knows no loads at all.
    mLoadQueries.emplace(asked, asked);
  }
  mRetryBudget.configure(limits.retryBudget, limits.retryBurst / sharers);
  if (limits.idleTimeout > Duration{ 0 }) {
    mFront->setTimeouts(limits.headerTimeout, limits.idleTimeout);
  }
  mFront->setMessageLimits({ static_cast<std::uint32_t>(limits.maxHeaderBytes),
                             static_cast<std::uint64_t>(limits.maxBodyBytes) });
}

void
EntryWorker::beginLeaving()
{
  mFront->closeAfterAnswers();
}

void
EntryWorker::stopAccepting()
{
  mFront->stopAccepting();
}

void
EntryWorker::closeIdle(Duration aIdleFor)
{
  mFront->closeIdle(aIdleFor);
}

bool
EntryWorker::isDrained() const
{
  return mCalls.empty() && mFront->connectionCount() == 0;
}

Call*
EntryWorker::find(std::uint64_t aCall)
{
  const auto it = mCalls.find(aCall);
  return it == mCalls.end() ? nullptr : it->second.get();
}

void
EntryWorker::updateGauges()
{
  auto& gauges = mTables.gauges[mIndex];
  gauges.calls = mCalls.size();
  gauges.callerConnections = mFront->connectionCount();
  gauges.upstreamConnections = mBack.connectionCount();
}

Duration
EntryWorker::retryAfter()
{
  std::uniform_int_distribution<Duration::rep> ticks(kFirstReturn.count(),
                                                     kLastReturn.count());
  return Duration(ticks(mRandom));
}

void
EntryWorker::erase(std::uint64_t aCall)
{
  mCalls.erase(aCall);
}

void
EntryWorker::startNext(const std::string& aService)
{
  const auto release = mTables.admission.release(aService, mTimers.now());
  for (const auto& it : release.started) {
    mHub.postToWorker(it.worker, [call = it.call, aService](EntryWorker& aWorker) {
      aWorker.onSlot(call, aService);
    });
  }
  for (const auto& it : release.expired) {
    mHub.postToWorker(
      it.worker, [call = it.call](EntryWorker& aWorker) { aWorker.onDisplaced(call); });
  }
}

} // namespace masticwall
