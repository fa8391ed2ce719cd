#include "EntryWorker.h"
#include <http/ExchangeError.h>
#include <telemetry/EventLog.h>

// The part of EntryWorker that queries upstreams for their load before a call is sent.
// Upstreams' load and speed change within milliseconds, and the responses to the calls of
// one entry process alone carry too few load reports from each of them.
namespace masticwall {

namespace {

/** Older load reports are stale: upstreams' hosts change speed several times a second. */
constexpr Duration kMaxReportAge = std::chrono::milliseconds(60);

constexpr int kMaxLoadQueryRounds = 2;

/** Reports that arrive after the wait are still recorded, for later calls. */
constexpr Duration kLoadQueryTimeout = std::chrono::milliseconds(250);

LoadQueryId
currentQuery(const Call& aCall)
{
  return { aCall.id, aCall.attempts, aCall.loadQueryRounds };
}

const std::string*
healthPathOf(const Preset& aPreset, const std::string& aService)
{
  for (const auto& it : aPreset.services) {
    if (it.name == aService && !it.healthPath.empty()) {
      return &it.healthPath;
    }
  }
  return nullptr;
}

} // namespace

void
EntryWorker::queryLoads(Call& aCall)
{
  const auto query = upstreamQueryFor(aCall);
  const auto permit = mTables.upstreams.permitCandidate(query, mTimers.now());
  const bool mustWait = permit.has_value() && !permit->hasAlternative;
  const bool wantsPermit =
    mustWait || (permit.has_value() && aCall.loadQueryRounds < kMaxLoadQueryRounds);
  const auto stale = loadQueryTargets(aCall, query);
  ++aCall.loadQueryRounds;
  if (stale.empty() && !wantsPermit) {
    send(aCall);
    return;
  }
  aCall.stage = CallStage::QueryingLoads;
  aCall.pendingLoadQueries = stale.size() + (wantsPermit ? 1 : 0);
  const auto id = aCall.id;
  aCall.loadQueryTimer =
    mTimers.scheduleAfter(mustWait ? kMaxPermitWait : LoadReplyTimes::kMaxWait,
                          [this, id] { finishLoadQueries(id); });
  if (wantsPermit) {
    requestPermit(aCall, *permit);
  }
  const auto* const path = healthPathOf(*aCall.preset, aCall.service);
  for (const auto& it : stale) {
    queryLoad(aCall, it, *path);
  }
}

std::vector<UpstreamAddress>
EntryWorker::loadQueryTargets(const Call& aCall, const UpstreamQuery& aQuery)
{
  const auto now = mTimers.now();
  const auto& limits = aCall.preset->limits;
  const auto round = aCall.loadQueryRounds;
  if (limits.loadQueries == 0 || round >= kMaxLoadQueryRounds ||
      healthPathOf(*aCall.preset, aCall.service) == nullptr) {
    return {};
  }
  auto stale = mTables.upstreams.staleTopCandidates(
    aQuery, LoadQueryScope::ofRound(limits, round), kMaxReportAge, now);
  const auto cost = static_cast<double>(stale.size());
  // The budget is set by a task that may run after the first calls with a new preset.
  const bool isWithinBudget = stale.empty() || (mLoadQueryBudget.has_value() &&
                                                mLoadQueryBudget->tryConsume(cost, now));
  if (!isWithinBudget) {
    mTables.metrics.count(Counter::LoadQueries, "over-budget");
    stale.clear();
  }
  return stale;
}

void
EntryWorker::queryLoad(const Call& aCall,
                       const UpstreamAddress& aUpstream,
                       std::string aPath)
{
  const auto query = currentQuery(aCall);
  http::Exchange exchange;
  exchange.host = QHostAddress(QString::fromStdString(aUpstream.host));
  exchange.port = aUpstream.port;
  exchange.request.method = "GET";
  exchange.request.target = std::move(aPath);
  exchange.request.headers.push_back({ "Host", aUpstream.host });
  exchange.timeout = kLoadQueryTimeout;
  exchange.connectTimeout = kLoadQueryTimeout;
  exchange.isMatchingResponse = mContext.dialect.isLoadQueryResponse;
  exchange.canStillSend = [this, aUpstream] {
    return mTables.upstreams.acceptsLoadQuery(aUpstream, mTimers.now());
  };
  exchange.done = [this, query, aUpstream, sentAt = mTimers.now()](
                    const http::ExchangeResult& aResult) {
    onLoadReply(query, aUpstream, aResult, sentAt);
  };
  mUpstreamConnections.start(std::move(exchange));
}

void
EntryWorker::onLoadReply(const LoadQueryId& aQuery,
                         const UpstreamAddress& aUpstream,
                         const http::ExchangeResult& aResult,
                         Instant aSentAt)
{
  const auto now = mTimers.now();
  mTables.metrics.count(Counter::LoadQueries, aResult.error ? "failed" : "answered");
  logDiscardedResponses(aUpstream, "-", aResult);
  if (aResult.error == ExchangeError::BadResponse) {
    logEvent(LogEvent::LoadQueryFailed,
             { { "upstream", aUpstream.name }, { "detail", aResult.detail.message() } });
  }
  const bool wasSent = aResult.error != ExchangeError::NotSent;
  if (aResult.error && wasSent) {
    mTables.upstreams.reportUnreachable(aUpstream, now);
  } else if (!aResult.error) {
    mTables.upstreams.recordReplyTime(aUpstream, now - aSentAt);
    applyReport(aUpstream,
                mContext.dialect.readUpstreamReport(aResult.response, now),
                ReportSource::LoadQuery,
                aSentAt);
  }
  onQueryDone(aQuery);
}

void
EntryWorker::onQueryDone(const LoadQueryId& aQuery)
{
  auto* const call = findCall(aQuery.call);
  if (call == nullptr || call->stage != CallStage::QueryingLoads ||
      currentQuery(*call) != aQuery) {
    return; // too late: the call has gone on without this reply
  }
  if (--call->pendingLoadQueries == 0) {
    finishLoadQueries(aQuery.call);
  }
}

void
EntryWorker::finishLoadQueries(std::uint64_t aCall)
{
  auto* const call = findCall(aCall);
  if (call != nullptr && call->stage == CallStage::QueryingLoads) {
    call->loadQueryTimer.cancel();
    call->stage = CallStage::Waiting;
    queryLoads(*call);
  }
}

} // namespace masticwall
