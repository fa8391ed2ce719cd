#include "CallerIdentity.h"
#include "EntryWorker.h"
#include <http/ExchangeError.h>
#include <telemetry/EventLog.h>
#include <utility>

// The part of EntryWorker that sends hedges: second requests of calls that may be
// repeated and whose first response is late. The first usable response wins; the other
// request is cancelled by closing its connection. A failure does not win over a request
// that is still in progress.
namespace masticwall {

namespace {

constexpr int kFirstErrorStatus = 500;

} // namespace

void
EntryWorker::scheduleHedge(Call& aCall)
{
  const auto& policy = mTables.settings.hedging;
  if (!policy.isEnabled() || aCall.isOrder() || aCall.isTrial || aCall.wasHedged) {
    return;
  }
  const auto id = aCall.id;
  const auto left = aCall.arrivedAt + aCall.route->target - aCall.sentAt;
  const auto delay = mHedgeDelays[aCall.route->name].after(policy, left);
  if (delay.has_value()) {
    aCall.hedgeTimer = mTimers.scheduleAfter(*delay, [this, id] { onHedgeDue(id); });
  }
}

void
EntryWorker::onHedgeDue(std::uint64_t aCall)
{
  auto* const call = findCall(aCall);
  if (call == nullptr || call->stage != CallStage::Sending || call->wasHedged ||
      !call->upstream.has_value()) {
    return;
  }
  const auto verdict = tryHedge(*call);
  mTables.metrics.count(Counter::Hedges, std::string(nameOf(verdict)));
}

HedgeVerdict
EntryWorker::tryHedge(Call& aCall)
{
  const auto now = mTimers.now();
  if (!isInTimeForDrain(aCall)) {
    return HedgeVerdict::TooLate;
  }
  const bool isSuspect =
    !mTables.suspects.isEmpty() &&
    mTables.suspects.isBlocked(
      requestDigest(aCall.request, aCall.metadata.host, aCall.tenantName()), now);
  const HedgeRequest request{ aCall.attempts,
                              aCall.route->attempts,
                              aCall.deadline - now,
                              mHedgeDelays[aCall.route->name].median(),
                              isSuspect,
                              mTables.admission.hasWaiting(aCall.service) };
  const auto verdict = request.verdict();
  if (verdict != HedgeVerdict::Send) {
    return verdict;
  }
  const auto choice = chooseForHedge(aCall);
  if (choice.has_error()) {
    return HedgeVerdict::NoRoom;
  }
  const auto& upstream = choice.value().address;
  if (!mHedgeBudget.tryConsume(aCall.service, now) ||
      !mRetryBudget.tryConsume(aCall.service, now)) {
    mTables.upstreams.recordAttemptEnd(
      upstream, AttemptOutcome::Cancelled, Duration{ 0 }, now);
    return HedgeVerdict::OverBudget;
  }
  sendHedge(aCall, choice.value());
  return HedgeVerdict::Send;
}

Result<UpstreamChoice>
EntryWorker::chooseForHedge(const Call& aCall)
{
  const auto now = mTimers.now();
  auto query = upstreamQueryFor(aCall);
  query.excluded.push_back(aCall.upstream->name);
  query.limit.maxQueueing = Duration{ 0 };
  query.isOptional = true;
  // What makes the first response late may concern its whole data centre.
  query.avoidedDataCentre = aCall.upstream->dataCentre;
  auto choice = mTables.upstreams.choose(query, now);
  if (choice.has_error()) {
    query.avoidedDataCentre.clear();
    choice = mTables.upstreams.choose(query, now);
  }
  return choice;
}

void
EntryWorker::sendHedge(Call& aCall, const UpstreamChoice& aChoice)
{
  const auto now = mTimers.now();
  logEvent(LogEvent::CallHedged,
           { { "id", aCall.metadata.id },
             { "upstream", aCall.upstream->name },
             { "second", aChoice.address.name },
             { "after_ms", toMilliseconds(now - aCall.sentAt) } });
  aCall.wasHedged = true;
  ++aCall.attempts;
  const auto attempt = aCall.history.size();
  aCall.history.push_back(
    { aChoice.address.name, aChoice.load, aChoice.inFlight, now, {} });
  const auto exchange =
    mUpstreamConnections.start(makeExchange(aCall, aChoice.address, false, attempt));
  aCall.hedge = HedgeAttempt{ aChoice.address, exchange, now, attempt };
}

bool
EntryWorker::onHedgedExchangeDone(Call& aCall,
                                  std::size_t aAttempt,
                                  const http::ExchangeResult& aResult)
{
  const bool isFirst = aAttempt == aCall.attempt;
  if (isUsable(aResult)) {
    if (!isFirst) {
      recordHedgeDelay(aCall); // the first response would have taken longer
      swapHedge(aCall);
    }
    mTables.metrics.count(Counter::Hedges, isFirst ? "wasted" : "won");
    cancelHedge(aCall);
    return false;
  }
  if (isFirst) {
    swapHedge(aCall);
  }
  endFailedHedge(aCall, aResult);
  return true;
}

bool
EntryWorker::isUsable(const http::ExchangeResult& aResult) const
{
  return !aResult.error && aResult.response.status < kFirstErrorStatus &&
         !mContext.dialect.readUpstreamReport(aResult.response, mTimers.now()).isNotRun;
}

void
EntryWorker::swapHedge(Call& aCall)
{
  std::swap(*aCall.upstream, aCall.hedge->upstream);
  std::swap(aCall.exchange, aCall.hedge->exchange);
  std::swap(aCall.sentAt, aCall.hedge->sentAt);
  std::swap(aCall.attempt, aCall.hedge->attempt);
  aCall.hasPermit = false; // a hedge has none, and the call with one is ending
}

void
EntryWorker::endFailedHedge(Call& aCall, const http::ExchangeResult& aResult)
{
  const auto& upstream = aCall.hedge->upstream;
  logDiscardedResponses(upstream, aCall.metadata.id, aResult);
  auto outcome = AttemptOutcome::ErrorResponse;
  if (aResult.error) {
    const bool wasSent = aResult.error != ExchangeError::NotSent &&
                         aResult.error != ExchangeError::NoConnection;
    outcome = wasSent ? AttemptOutcome::Failed : AttemptOutcome::Cancelled;
    aCall.mayHaveRun = aCall.mayHaveRun || aResult.mayHaveRun;
    logUpstreamFailure(upstream, aCall.metadata.id, aResult);
  } else {
    const auto report =
      mContext.dialect.readUpstreamReport(aResult.response, mTimers.now());
    applyReport(upstream, report, ReportSource::Response, aCall.hedge->sentAt);
    if (report.isNotRun) {
      outcome = AttemptOutcome::Shed;
    } else {
      aCall.lastErrorResponse = aResult.response;
    }
  }
  mTables.metrics.count(Counter::Hedges, "failed");
  endHedge(aCall, outcome);
}

void
EntryWorker::cancelHedge(Call& aCall)
{
  if (aCall.hedge.has_value()) {
    mUpstreamConnections.cancel(aCall.hedge->exchange);
    endHedge(aCall, AttemptOutcome::Cancelled);
  }
}

void
EntryWorker::endHedge(Call& aCall, AttemptOutcome aOutcome)
{
  const auto now = mTimers.now();
  const auto hedge = *std::exchange(aCall.hedge, std::nullopt);
  mTables.upstreams.recordAttemptEnd(hedge.upstream, aOutcome, now - hedge.sentAt, now);
  aCall.history[hedge.attempt].outcome = aOutcome;
  aCall.history[hedge.attempt].endedAt = now;
  aCall.excluded.push_back(hedge.upstream.name);
}

void
EntryWorker::recordHedgeDelay(const Call& aCall)
{
  if (mTables.settings.hedging.isEnabled() && aCall.attempt == 0) {
    mHedgeDelays[aCall.route->name].record(mTimers.now() - aCall.sentAt);
  }
}

} // namespace masticwall
