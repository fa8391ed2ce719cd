#include "EntryWorker.h"
#include <http/BackError.h>
#include <telemetry/EventLog.h>

// The part of EntryWorker that sends calls to upstreams.
namespace masticwall {

namespace {

constexpr int kFirstErrorStatus = 500;

/** An answer expected later than so many targets is not worth its slot in a flood. */
constexpr double kUsefulTargets = 2.5;

/** Calls may queue for this part of the target of more urgent calls of their service. */
constexpr double kShareOfUrgent = 0.6;

/** How long an order's outcome is awaited after its caller's deadline. */
constexpr Duration kSettleTime = std::chrono::seconds(30);

/** Bytes of a request and its answer on the link, where nothing better is known. */
constexpr std::size_t kExpectedAnswerBytes = 2048;

} // namespace

void
EntryWorker::sendIfReady(Call& aCall)
{
  if (aCall.holdsSlot && aCall.isGranted && aCall.stage == CallStage::Waiting) {
    askLoads(aCall);
  }
}

LatencyLimit
EntryWorker::limitOf(const Call& aCall) const
{
  const auto now = mTimers.now();
  const auto target = aCall.route->target;
  LatencyLimit limit;
  limit.whole = aCall.deadline - now;
  if (target > Duration{ 0 }) {
    const auto useful = std::chrono::duration_cast<Duration>(kUsefulTargets * target);
    limit.whole = std::min(limit.whole, useful - (now - aCall.arrivedAt));
  }
  const auto urgent =
    aCall.preset->targets.tightestAbove(aCall.service, aCall.route->rank);
  if (urgent != Duration::max()) {
    limit.wait = std::chrono::duration_cast<Duration>(kShareOfUrgent * urgent);
  }
  return limit;
}

UpstreamQuery
EntryWorker::queryOf(const Call& aCall) const
{
  return { aCall.service,
           aCall.route->rank,
           aCall.request.body.size() + kExpectedAnswerBytes,
           aCall.excluded,
           limitOf(aCall) };
}

void
EntryWorker::send(Call& aCall)
{
  const auto now = mTimers.now();
  if (now >= aCall.deadline) {
    endWith(aCall, CallError::QueueTimeout);
    return;
  }
  const auto chosen = mTables.upstreams.choose(queryOf(aCall), now);
  if (chosen.has_error()) {
    if (aCall.lastAnswer.has_value()) {
      endWithAnswer(aCall, *std::exchange(aCall.lastAnswer, std::nullopt));
      return;
    }
    const auto error = aCall.wasShed ? CallError::UpstreamShed
                                     : static_cast<CallError>(chosen.error().value());
    endWith(aCall, aCall.mayHaveRun ? CallError::UpstreamFailed : error);
    return;
  }
  const auto& choice = chosen.value();
  aCall.upstream = choice.address;
  aCall.history.push_back({ choice.address.name, choice.load, choice.inFlight, now, {} });
  aCall.stage = CallStage::Sending;
  aCall.sentAt = now;
  aCall.askingRounds = 0;
  ++aCall.attempts;
  aCall.exchange = mBack.start(makeExchange(aCall));
}

http::Exchange
EntryWorker::makeExchange(const Call& aCall)
{
  const auto id = aCall.id;
  const auto left = aCall.deadline - mTimers.now();
  http::Exchange exchange;
  exchange.host = QHostAddress(QString::fromStdString(aCall.upstream->host));
  exchange.port = aCall.upstream->port;
  exchange.request = aCall.request;
  mHub.dialect.writeTerms(exchange.request, *aCall.upstream, left);
  exchange.limits.maxBodyBytes = aCall.preset->limits.maxBodyBytes;
  exchange.timeout = aCall.isClaimedOrder() ? left + kSettleTime : left;
  exchange.provenOnly = aCall.isOrder();
  if (mHub.dialect.hasIds) {
    exchange.mayEndWithConnection = true;
    exchange.isAnswer = [isAnswerTo = mHub.dialect.isAnswerTo,
                         terms = aCall.terms](const http::Response& aResponse) {
      return isAnswerTo(aResponse, terms);
    };
  }
  if (aCall.isClaimedOrder()) {
    const auto sequence = aCall.claim.sequence;
    const auto deadline = aCall.deadline;
    // The last moment before the first byte leaves: a pause may have come in between.
    exchange.mayWrite = [this, sequence, deadline] {
      return mTimers.now() < deadline && mTables.orders.markSent(sequence);
    };
  }
  exchange.done = [this, id](const http::BackResult& aResult) {
    onExchange(id, aResult);
  };
  return exchange;
}

void
EntryWorker::onExchange(std::uint64_t aCall, const http::BackResult& aResult)
{
  auto* const call = find(aCall);
  if (call == nullptr) {
    return;
  }
  call->exchange = 0;
  call->isSent = aResult.mayHaveRun;
  if (aResult.error) {
    onFailure(*call, aResult);
  } else {
    onAnswer(*call, aResult.response);
  }
}

void
EntryWorker::onAnswer(Call& aCall, const http::Response& aResponse)
{
  const auto signs = mHub.dialect.readSigns(aResponse, mTimers.now());
  const auto& upstream = *aCall.upstream;
  if (signs.load.has_value()) {
    mTables.upstreams.reportLoad(upstream, *signs.load);
  }
  if (signs.isLeaving || signs.isElsewhere) {
    noteLeaving(upstream);
  }
  if (signs.isNotRun) {
    onShed(aCall);
    return;
  }
  const bool isError = aResponse.status >= kFirstErrorStatus;
  endAttempt(aCall, isError ? CallEnd::ErrorAnswer : CallEnd::Answered);
  if (isError && mayTryAgain(aCall)) {
    aCall.stage = CallStage::Waiting;
    aCall.lastAnswer = aResponse;
    askLoads(aCall);
    return;
  }
  endWithAnswer(aCall, aResponse);
}

void
EntryWorker::noteLeaving(const UpstreamAddress& aUpstream)
{
  auto& hub = mHub;
  mTables.upstreams.markLeaving(aUpstream);
  logEvent(LogEvent::UpstreamLeaving,
           { { "upstream", aUpstream.name }, { "sign", "answer" } });
  hub.postToMain([&hub, name = aUpstream.name, instance = aUpstream.instance] {
    if (hub.backplane.reportLeaving) {
      hub.backplane.reportLeaving(name, instance);
    }
  });
}

void
EntryWorker::onShed(Call& aCall)
{
  endAttempt(aCall, CallEnd::Shed);
  aCall.isSent = false;
  if (aCall.isClaimedOrder()) {
    mTables.orders.markNotSent(aCall.claim.sequence);
  }
  const bool isFirst = !aCall.wasShed;
  aCall.wasShed = true;
  if (isFirst) {
    retryOrEnd(aCall, CallError::UpstreamShed);
  } else {
    endWith(aCall, CallError::UpstreamShed);
  }
}

void
EntryWorker::onFailure(Call& aCall, const http::BackResult& aResult)
{
  const auto& error = aResult.error;
  if (error == BackError::Withdrawn) {
    endAttempt(aCall, CallEnd::Cancelled);
    endWith(aCall, CallError::QueueTimeout);
    return;
  }
  logEvent(LogEvent::UpstreamFailed,
           { { "id", aCall.terms.id },
             { "upstream", aCall.upstream->name },
             { "error", error.message() },
             { "may_have_run", aResult.mayHaveRun ? "yes" : "no" } });
  const bool isOurLimit = error == BackError::NoConnection;
  aCall.mayHaveRun = aCall.mayHaveRun || aResult.mayHaveRun;
  const auto upstream = *aCall.upstream;
  endAttempt(aCall, isOurLimit ? CallEnd::Cancelled : CallEnd::Failed);
  if (error == BackError::Closed && aResult.mayHaveRun) {
    aCall.upstream = upstream;
    checkDeath(aCall);
    return;
  }
  retryOrEnd(aCall,
             aResult.mayHaveRun ? CallError::UpstreamFailed : CallError::NoUpstream);
}

bool
EntryWorker::mayTryAgain(const Call& aCall)
{
  const bool isInTime =
    aCall.stage == CallStage::Sending && mTimers.now() < aCall.deadline;
  const bool mayRepeat = !(aCall.isOrder() && aCall.isSent) && isInTime &&
                         aCall.attempts < aCall.route->attempts;
  if (!mayRepeat) {
    return false;
  }
  const bool isPaid = mRetryBudget.take(aCall.service, mTimers.now());
  mTables.metrics.count(Counter::Retries, isPaid ? "sent" : "over-budget");
  return isPaid;
}

void
EntryWorker::retryOrEnd(Call& aCall, CallError aError)
{
  const bool isSuspect = mTables.suspects.isStopped(aCall.fingerprint, mTimers.now());
  if (isSuspect) {
    logEvent(LogEvent::SuspectStopped,
             { { "id", aCall.terms.id }, { "service", aCall.service } });
  }
  if (isSuspect || !mayTryAgain(aCall)) {
    endWith(aCall, aError);
    return;
  }
  aCall.stage = CallStage::Waiting;
  askLoads(aCall);
}

void
EntryWorker::endAttempt(Call& aCall, CallEnd aEnd)
{
  const auto now = mTimers.now();
  mTables.upstreams.finished(*aCall.upstream, aEnd, now - aCall.sentAt, now);
  aCall.history.back().end = aEnd;
  aCall.history.back().endedAt = now;
  aCall.excluded.push_back(aCall.upstream->name);
  aCall.upstream.reset();
}

} // namespace masticwall
