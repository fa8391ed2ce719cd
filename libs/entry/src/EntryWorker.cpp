#include "EntryWorker.h"
#include "CallId.h"
#include <decide/DescriptorBudget.h>
#include <http/HttpError.h>
#include <sys/resource.h>
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

constexpr int kMinConnectionsPerUpstream = 2;

/** Until the first preset sets the limit. */
constexpr int kInitialConnectionsPerUpstream = 1;
constexpr Duration kGaugePeriod = std::chrono::milliseconds(250);

/** For files, if the number of sockets is not set and the system's limit counts. */
constexpr int kFileDescriptors = 64;

int
maxSocketsOf(const EntrySettings& aSettings)
{
  constexpr rlim_t kMaxSockets = 1'000'000; // if the system has no limit
  if (aSettings.maxSockets > 0) {
    return aSettings.maxSockets;
  }
  rlimit files = {};
  getrlimit(RLIMIT_NOFILE, &files);
  return static_cast<int>(std::min(files.rlim_cur, kMaxSockets)) - kFileDescriptors;
}

} // namespace

Result<std::unique_ptr<EntryWorker>>
EntryWorker::create(WorkerContext& aContext, std::uint32_t aIndex)
{
  auto worker = std::unique_ptr<EntryWorker>(new EntryWorker(aContext, aIndex));
  auto* const raw = worker.get();
  const auto& settings = aContext.tables.settings;
  const auto descriptors = DescriptorBudget::of(maxSocketsOf(settings));
  raw->mUpstreamConnections.setMaxConnections(descriptors.upstreams / settings.workers);
  http::HttpListenerSettings limits;
  limits.requestTimeout = settings.requestTimeout;
  limits.idleTimeout = settings.idleTimeout;
  limits.maxConnections =
    static_cast<std::size_t>(std::max(1, descriptors.callers / settings.workers));
  auto listener = http::HttpListener::listen(
    raw->mTimers,
    QHostAddress(QString::fromStdString(settings.common.host)),
    settings.port,
    limits,
    [raw](http::Request aRequest, http::ResponderPtr aResponder) {
      raw->onRequest(std::move(aRequest), std::move(aResponder));
    },
    [raw](const std::error_code& aError) { return raw->encodeHttpError(aError); },
    [](const std::string& aError) {
      logEvent(LogEvent::AcceptFailed, { { "error", aError } });
    },
    aContext.tables.messageBytes,
    aContext.tables.requestBytes);
  if (listener.has_error()) {
    return listener.error();
  }
  worker->mListener = std::move(listener.value());
  worker->mGaugeTimer =
    raw->mTimers.scheduleEvery(kGaugePeriod, [raw] { raw->updateGauges(); });
  return worker;
}

EntryWorker::EntryWorker(WorkerContext& aContext, std::uint32_t aIndex)
  : mContext(aContext)
  , mTables(aContext.tables)
  , mIndex(aIndex)
  , mUpstreamConnections(mTimers, kInitialConnectionsPerUpstream, mTables.messageBytes)
  , mRandom(aContext.tables.incarnation + aIndex)
{
}

EntryWorker::~EntryWorker() = default;

http::Response
EntryWorker::encodeHttpError(const std::error_code& aError)
{
  if (aError != HttpError::NoRoom) {
    return mContext.dialect.encodeHttpError(aError);
  }
  logEvent(LogEvent::BodyRefused, { { "used_bytes", mTables.requestBytes->used() } });
  auto response = mContext.dialect.encodeOutcome(
    Outcome::NotRun, CallError::Overload, RetryAfterRange().draw(mRandom));
  response.keepAlive = false; // the body may be on its way
  return response;
}

void
EntryWorker::onPresetChanged()
{
  const auto preset = mTables.presets.current();
  if (preset == nullptr) {
    return;
  }
  const auto& limits = preset->limits;
  const int workers = mTables.settings.workers;
  const int entries = limits.areSharedByAllVms ? mTables.entryCount.load() : 1;
  mUpstreamConnections.setConnectionsPerUpstream(std::max(
    kMinConnectionsPerUpstream, limits.connectionsPerUpstream / (entries * workers)));
  // The load query budget limits the daily average, so it may be exceeded while some
  // processes are not listed yet.
  const auto queriesPerSecond =
    preset->measuring.probesPerSecond * mTables.upstreamCount / (entries * workers);
  if (mLoadQueryBudget.has_value()) {
    mLoadQueryBudget->configure(queriesPerSecond, queriesPerSecond);
  } else {
    // Starts with a full bucket, because a new process has no load reports yet.
    mLoadQueryBudget.emplace(queriesPerSecond, queriesPerSecond);
  }
  mRetryBudget.configure(RetryAllowance::of(limits, entries, workers));
  mHedgeBudget.configure(mTables.settings.hedging, entries, workers);
  if (mHedgeDelays.size() > preset->routes.size()) {
    mHedgeDelays.clear(); // most are of routes that are gone
  }
  if (limits.idleTimeout > Duration{ 0 }) {
    mListener->setTimeouts(limits.headerTimeout, limits.idleTimeout);
  }
  mListener->setMessageLimits({ static_cast<std::uint32_t>(limits.maxHeaderBytes),
                                static_cast<std::uint64_t>(limits.maxBodyBytes) });
}

void
EntryWorker::beginDrain()
{
  mListener->closeAfterResponses();
}

void
EntryWorker::stopAccepting()
{
  mListener->stopAccepting();
}

void
EntryWorker::closeIdle(Duration aIdleFor)
{
  mListener->closeIdle(aIdleFor);
}

void
EntryWorker::endAllCalls()
{
  std::vector<std::uint64_t> ids;
  ids.reserve(mCalls.size());
  for (const auto& [id, call] : mCalls) {
    ids.push_back(id);
  }
  for (const auto id : ids) {
    auto* const call = findCall(id);
    if (call == nullptr || call->stage == CallStage::Settling) {
      continue;
    }
    if (call->stage == CallStage::Sending) {
      mUpstreamConnections.cancel(call->exchange);
      call->mayHaveRun = true;
    }
    const bool isRunElsewhere = call->stage == CallStage::AwaitingOrder;
    endWithError(*call, isRunElsewhere ? CallError::OrderUnsettled : CallError::Leaving);
  }
}

bool
EntryWorker::isInTimeForDrain(const Call& aCall) const
{
  const auto schedule = mTables.drainSchedule();
  return !schedule.has_value() ||
         schedule->maySend(aCall.deadline, aCall.isOrder(), mTimers.now());
}

bool
EntryWorker::isDrained() const
{
  return mCalls.empty() && mListener->connectionCount() == 0;
}

Call*
EntryWorker::findCall(std::uint64_t aCall)
{
  const auto it = mCalls.find(aCall);
  return it == mCalls.end() ? nullptr : it->second.get();
}

void
EntryWorker::updateGauges()
{
  auto& gauges = mTables.gauges[mIndex];
  gauges.calls = mCalls.size();
  gauges.callerConnections = mListener->connectionCount();
  gauges.upstreamConnections = mUpstreamConnections.connectionCount();
}

Duration
EntryWorker::retryAfterFor(const Call& aCall)
{
  const auto now = mTimers.now();
  if (aCall.quotaRetryAfter > Duration{ 0 }) {
    return aCall.quotaRetryAfter;
  }
  if (aCall.heldOffFor > Duration{ 0 }) {
    return RetryAfterRange::afterHoldOff(
             aCall.deadline - now, aCall.heldOffFor, aCall.rank())
      .draw(mRandom);
  }
  return RetryAfterRange::of(aCall.deadline - now,
                             aCall.arrivedAt + aCall.route->target - now,
                             mTables.upstreams.typicalProcessingTime(aCall.service))
    .draw(mRandom);
}

void
EntryWorker::eraseCall(std::uint64_t aCall)
{
  const auto it = mCalls.find(aCall);
  if (it != mCalls.end()) {
    cancelHedge(*it->second);
    mRestrictedCalls -= it->second->allowedRegions.isAny() ? 0 : 1;
    mCalls.erase(it);
  }
}

void
EntryWorker::releaseSlot(const std::string& aService)
{
  const auto release = mTables.admission.release(aService, mTimers.now());
  for (const auto& it : release.started) {
    mContext.postToWorker(it.worker, [call = it.call, aService](EntryWorker& aWorker) {
      aWorker.onSlotGranted(call, aService);
    });
  }
  for (const auto& it : release.expired) {
    mContext.postToWorker(
      it.worker, [call = it.call](EntryWorker& aWorker) { aWorker.onDisplaced(call); });
  }
}

} // namespace masticwall
