#include "EntryWorker.h"
#include <http/ExchangeError.h>
#include <telemetry/EventLog.h>

// The part of EntryWorker that sends calls to upstreams.
namespace masticwall {

namespace {

constexpr int kFirstErrorStatus = 500;

/** Time to wait for an order's outcome after the call's deadline. */
constexpr Duration kMaxSettleTime = std::chrono::seconds(30);

/** Assumed size of a response, for the byte budget of the link between regions. */
constexpr std::size_t kExpectedResponseBytes = 2048;

/** What is wrong with a broken response; "-" for other failures. */
std::string
detailOf(const http::ExchangeResult& aResult)
{
  return aResult.detail ? aResult.detail.message() : "-";
}

TenantField
tenantFieldOf(const Call& aCall)
{
  return { aCall.preset->tenants.has_value(), std::string(aCall.tenantName()) };
}

} // namespace

void
EntryWorker::sendIfReady(Call& aCall)
{
  if (aCall.hasSlot && aCall.isClaimGranted && aCall.stage == CallStage::Waiting &&
      hasValidQuota(aCall)) {
    queryLoads(aCall);
  }
}

UpstreamQuery
EntryWorker::upstreamQueryFor(const Call& aCall) const
{
  return { aCall.service,
           aCall.rank(),
           aCall.request.body.size() + kExpectedResponseBytes,
           aCall.excluded,
           LatencyLimit::of(*aCall.preset,
                            *aCall.route,
                            aCall.rank(),
                            aCall.service,
                            aCall.arrivedAt,
                            aCall.deadline,
                            mTimers.now()),
           aCall.allowedRegions };
}

void
EntryWorker::send(Call& aCall)
{
  const auto now = mTimers.now();
  if (now >= aCall.deadline) {
    endWithError(aCall, CallError::QueueTimeout);
    return;
  }
  if (!isInTimeForDrain(aCall)) {
    endWithError(aCall, CallError::Leaving);
    return;
  }
  const auto chosen = mTables.upstreams.choose(upstreamQueryFor(aCall), now);
  if (chosen.has_error()) {
    const bool hasNothingToReport =
      !aCall.wasShed && !aCall.mayHaveRun && !aCall.lastErrorResponse.has_value();
    if (hasNothingToReport && chosen.error() == CallError::NoUpstream &&
        !availabilityFor(aCall).isAvailable) {
      endAsUnavailable(aCall);
      return;
    }
    const auto error = aCall.wasShed ? CallError::UpstreamShed
                                     : static_cast<CallError>(chosen.error().value());
    endWithError(aCall, aCall.mayHaveRun ? CallError::UpstreamFailed : error);
    return;
  }
  const auto& choice = chosen.value();
  aCall.hasPermit = choice.hasPermit;
  if (choice.hasPermit) {
    mTables.metrics.count(Counter::LimitedRequests, "call");
  }
  aCall.upstream = choice.address;
  aCall.attempt = aCall.history.size();
  aCall.history.push_back({ choice.address.name, choice.load, choice.inFlight, now, {} });
  aCall.stage = CallStage::Sending;
  aCall.sentAt = now;
  aCall.loadQueryRounds = 0;
  ++aCall.attempts;
  scheduleHedge(aCall);
  aCall.exchange = mUpstreamConnections.start(
    makeExchange(aCall, choice.address, choice.hasPermit, aCall.attempt));
}

http::Exchange
EntryWorker::makeExchange(const Call& aCall,
                          const UpstreamAddress& aUpstream,
                          bool aHasPermit,
                          std::size_t aAttempt)
{
  const auto id = aCall.id;
  const auto timeLeft = aCall.deadline - mTimers.now();
  http::Exchange exchange;
  exchange.host = QHostAddress(QString::fromStdString(aUpstream.host));
  exchange.port = aUpstream.port;
  exchange.request = aCall.request;
  mContext.dialect.writeUpstreamHeaders(
    exchange.request, aUpstream, tenantFieldOf(aCall), timeLeft);
  exchange.limits.maxBodyBytes = aCall.preset->limits.maxBodyBytes;
  exchange.timeout = aCall.isClaimedOrder() ? timeLeft + kMaxSettleTime : timeLeft;
  exchange.recentlyActiveOnly = aCall.isOrder();
  if (mContext.dialect.echoesRequestId) {
    exchange.allowCloseDelimited = true;
    exchange.isMatchingResponse =
      [isResponseTo = mContext.dialect.isResponseTo, metadata = aCall.metadata](
        const http::Response& aResponse) { return isResponseTo(aResponse, metadata); };
  }
  // Checked just before the first byte is written: while the connection was opened, the
  // upstream may have refused other calls, or this process may have been paused.
  exchange.canStillSend = [this,
                           upstream = aUpstream,
                           hasPermit = aHasPermit,
                           isClaimedOrder = aCall.isClaimedOrder(),
                           sequence = aCall.claim.sequence,
                           deadline = aCall.deadline] {
    const auto now = mTimers.now();
    if (!mTables.upstreams.acceptsRequest(upstream, hasPermit, now)) {
      return false;
    }
    return !isClaimedOrder || (now < deadline && mTables.orders.markSent(sequence));
  };
  exchange.done = [this, id, aAttempt](const http::ExchangeResult& aResult) {
    onExchangeDone(id, aAttempt, aResult);
  };
  return exchange;
}

void
EntryWorker::onExchangeDone(std::uint64_t aCall,
                            std::size_t aAttempt,
                            const http::ExchangeResult& aResult)
{
  auto* const call = findCall(aCall);
  if (call == nullptr ||
      (call->hedge.has_value() && onHedgedExchangeDone(*call, aAttempt, aResult))) {
    return;
  }
  logDiscardedResponses(*call->upstream, call->metadata.id, aResult);
  call->exchange = 0;
  call->lastAttemptMayHaveRun = aResult.mayHaveRun;
  if (aResult.error) {
    onExchangeFailed(*call, aResult);
  } else {
    onUpstreamResponse(*call, aResult.response);
  }
}

void
EntryWorker::logDiscardedResponses(const UpstreamAddress& aUpstream,
                                   const std::string& aCallId,
                                   const http::ExchangeResult& aResult)
{
  if (aResult.discardedResponses > 0) {
    logEvent(LogEvent::ResponseDiscarded,
             { { "id", aCallId },
               { "upstream", aUpstream.name },
               { "responses", aResult.discardedResponses } });
  }
}

void
EntryWorker::logUpstreamFailure(const UpstreamAddress& aUpstream,
                                const std::string& aCallId,
                                const http::ExchangeResult& aResult)
{
  logEvent(LogEvent::UpstreamFailed,
           { { "id", aCallId },
             { "upstream", aUpstream.name },
             { "error", aResult.error.message() },
             { "may_have_run", aResult.mayHaveRun ? "yes" : "no" },
             { "detail", detailOf(aResult) } });
}

void
EntryWorker::onUpstreamResponse(Call& aCall, const http::Response& aResponse)
{
  const auto signs = mContext.dialect.readUpstreamReport(aResponse, mTimers.now());
  applyReport(*aCall.upstream, signs, ReportSource::Response, aCall.sentAt);
  if (signs.isNotRun) {
    onUpstreamShed(aCall);
    return;
  }
  if (signs.isUnprovenRefusal && aCall.isOrder()) {
    // Passed on, the status would promise the caller that the order has not run.
    aCall.mayHaveRun = true;
    endAttempt(aCall, AttemptOutcome::ErrorResponse);
    endWithError(aCall, CallError::UpstreamFailed);
    return;
  }
  const bool isError = aResponse.status >= kFirstErrorStatus;
  if (!isError) {
    recordRunToEnd(aCall);
  }
  if (!isError) {
    recordHedgeDelay(aCall);
  }
  endAttempt(aCall, isError ? AttemptOutcome::ErrorResponse : AttemptOutcome::Answered);
  if (isError && tryTakeRetry(aCall)) {
    aCall.stage = CallStage::Waiting;
    aCall.lastErrorResponse = aResponse;
    queryLoads(aCall);
    return;
  }
  endWithResponse(aCall, aResponse);
}

void
EntryWorker::onUpstreamShed(Call& aCall)
{
  endAttempt(aCall, AttemptOutcome::Shed);
  aCall.lastAttemptMayHaveRun = false;
  if (aCall.isClaimedOrder()) {
    mTables.orders.markNotSent(aCall.claim.sequence);
  }
  const bool isFirst = !aCall.wasShed;
  aCall.wasShed = true;
  if (isFirst) {
    retryOrEnd(aCall, CallError::UpstreamShed);
  } else {
    endWithError(aCall, CallError::UpstreamShed);
  }
}

void
EntryWorker::onExchangeFailed(Call& aCall, const http::ExchangeResult& aResult)
{
  const auto& error = aResult.error;
  if (error == ExchangeError::NotSent) {
    if (!mTables.upstreams.acceptsRequest(
          *aCall.upstream, aCall.hasPermit, mTimers.now())) {
      chooseAgain(aCall);
      return;
    }
    endAttempt(aCall, AttemptOutcome::Cancelled);
    endWithError(aCall, CallError::QueueTimeout);
    return;
  }
  logUpstreamFailure(*aCall.upstream, aCall.metadata.id, aResult);
  const bool isOwnLimit = error == ExchangeError::NoConnection;
  aCall.mayHaveRun = aCall.mayHaveRun || aResult.mayHaveRun;
  const auto upstream = *aCall.upstream;
  endAttempt(aCall, isOwnLimit ? AttemptOutcome::Cancelled : AttemptOutcome::Failed);
  if (error == ExchangeError::Closed && aResult.mayHaveRun) {
    aCall.upstream = upstream;
    checkForCrash(aCall);
    return;
  }
  retryOrEnd(aCall,
             aResult.mayHaveRun ? CallError::UpstreamFailed : CallError::NoUpstream);
}

void
EntryWorker::chooseAgain(Call& aCall)
{
  endAttempt(aCall, AttemptOutcome::Cancelled);
  --aCall.attempts;
  aCall.stage = CallStage::Waiting;
  queryLoads(aCall);
}

bool
EntryWorker::tryTakeRetry(const Call& aCall)
{
  const bool isInTime =
    aCall.stage == CallStage::Sending && mTimers.now() < aCall.deadline;
  const bool mayRetry = !aCall.isTrial &&
                        !(aCall.isOrder() && aCall.lastAttemptMayHaveRun) && isInTime &&
                        aCall.attempts < aCall.route->attempts;
  if (!mayRetry) {
    return false;
  }
  const bool isWithinBudget = mRetryBudget.tryConsume(aCall.service, mTimers.now());
  mTables.metrics.count(Counter::Retries, isWithinBudget ? "sent" : "over-budget");
  return isWithinBudget;
}

void
EntryWorker::retryOrEnd(Call& aCall, CallError aError)
{
  const bool isSuspect = mTables.suspects.isBlocked(aCall.fingerprint, mTimers.now());
  if (isSuspect) {
    logEvent(LogEvent::SuspectStopped,
             { { "id", aCall.metadata.id }, { "service", aCall.service } });
  }
  if (isSuspect || !tryTakeRetry(aCall)) {
    endWithError(aCall, aError);
    return;
  }
  aCall.stage = CallStage::Waiting;
  queryLoads(aCall);
}

void
EntryWorker::endAttempt(Call& aCall, AttemptOutcome aOutcome)
{
  const auto now = mTimers.now();
  mTables.upstreams.recordAttemptEnd(*aCall.upstream, aOutcome, now - aCall.sentAt, now);
  aCall.history[aCall.attempt].outcome = aOutcome;
  aCall.history[aCall.attempt].endedAt = now;
  aCall.excluded.push_back(aCall.upstream->name);
  aCall.upstream.reset();
}

} // namespace masticwall
