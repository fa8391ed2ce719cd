#include "EntryWorker.h"
#include "CallNumber.h"
#include "OutcomeEncoding.h"
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

constexpr double kRetryBurst = 10.0;
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
    encodeUnreadable);
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
  , mRetryBudget(0.0, kRetryBurst)
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
  mBack.setConnectionsPerUpstream(limits.connectionsPerUpstream /
                                  mTables.settings.workers);
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
