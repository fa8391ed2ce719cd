#include "CallerIdentity.h"
#include "EntryWorker.h"
#include <http/BackError.h>
#include <http/ConnectProbe.h>
#include <messages/HeaderNames.h>
#include <messages/UpstreamSigns.h>
#include <telemetry/EventLog.h>

// The part of EntryWorker that sends calls to upstreams.
namespace masticwall {

namespace {

constexpr int kMostAttempts = 3;
constexpr int kFirstErrorStatus = 500;

/** How long an order's outcome is awaited after its caller's deadline. */
constexpr Duration kSettleTime = std::chrono::seconds(30);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);

/** Bytes of a request and its answer on the link, where nothing better is known. */
constexpr std::size_t kExpectedAnswerBytes = 2048;

} // namespace

void
EntryWorker::sendIfReady(Call& aCall)
{
  if (aCall.holdsSlot && aCall.isGranted && aCall.stage == CallStage::Waiting) {
    send(aCall);
  }
}

void
EntryWorker::send(Call& aCall)
{
  const auto now = mTimers.now();
  if (now >= aCall.deadline) {
    endWith(aCall, CallError::QueueTimeout);
    return;
  }
  const auto chosen =
    mTables.upstreams.choose({ aCall.route->service,
                               aCall.route->rank,
                               aCall.request.body.size() + kExpectedAnswerBytes,
                               aCall.excluded },
                             now);
  if (chosen.has_error()) {
    if (aCall.lastAnswer.has_value()) {
      endWithAnswer(aCall, *std::exchange(aCall.lastAnswer, std::nullopt));
      return;
    }
    const auto error = aCall.wasShed ? CallError::UpstreamShed : CallError::NoUpstream;
    endWith(aCall, aCall.mayHaveRun ? CallError::UpstreamFailed : error);
    return;
  }
  aCall.upstream = chosen.value();
  aCall.stage = CallStage::Sending;
  aCall.sentAt = now;
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
  http::removeHeader(exchange.request.headers, headers::kDeadline);
  exchange.request.headers.push_back(
    { headers::kDeadline, std::to_string(toMilliseconds(left)) });
  exchange.limits.maxBodyBytes = aCall.preset->limits.maxBodyBytes;
  exchange.timeout = aCall.isOrder() ? left + kSettleTime : left;
  exchange.provenOnly = aCall.isOrder();
  if (aCall.isOrder()) {
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
  const auto signs = readSigns(aResponse, mTimers.now());
  const auto& upstream = *aCall.upstream;
  if (signs.load.has_value()) {
    mTables.upstreams.reportLoad(upstream, *signs.load);
  }
  if (signs.isLeaving) {
    auto& hub = mHub;
    mTables.upstreams.markLeaving(upstream);
    logEvent(LogEvent::UpstreamLeaving,
             { { "upstream", upstream.name }, { "sign", "answer" } });
    hub.postToMain([&hub, name = upstream.name, instance = upstream.instance] {
      hub.control->reportLeaving(name, instance);
    });
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
    send(aCall);
    return;
  }
  endWithAnswer(aCall, aResponse);
}

void
EntryWorker::onShed(Call& aCall)
{
  endAttempt(aCall, CallEnd::Shed);
  if (aCall.isOrder()) {
    mTables.orders.markNotSent(aCall.claim.sequence);
    aCall.isSent = false;
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
           { { "upstream", aCall.upstream->name },
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

void
EntryWorker::checkDeath(Call& aCall)
{
  if (!aCall.isOrder()) {
    aCall.fingerprint = requestDigest(aCall.request);
  }
  const auto id = aCall.id;
  const auto upstream = *aCall.upstream;
  aCall.upstream.reset();
  const auto onProbed = [this, id, fingerprint = aCall.fingerprint](bool aIsListening) {
    if (aIsListening) {
      onDeathKnown(id);
    } else {
      shareDeath(id, fingerprint);
    }
  };
  http::probeConnect(mTimers,
                     QHostAddress(QString::fromStdString(upstream.host)),
                     upstream.port,
                     kProbeTimeout,
                     onProbed);
}

void
EntryWorker::shareDeath(std::uint64_t aCall, const Digest& aFingerprint)
{
  const auto reporter =
    mTables.settings.common.vm + '#' + std::to_string(mTables.incarnation);
  const auto deaths = mTables.suspects.noteDeath(aFingerprint, reporter, mTimers.now());
  auto& hub = mHub;
  // The caller is answered only after the other VMs know, so that a resend through
  // whichever of them meets the count.
  hub.postToMain([&hub, aFingerprint, reporter, deaths, aCall, worker = mIndex] {
    hub.control->reportSuspect({ aFingerprint, reporter, deaths }, [&hub, aCall, worker] {
      hub.postToWorker(worker,
                       [aCall](EntryWorker& aWorker) { aWorker.onDeathKnown(aCall); });
    });
  });
}

void
EntryWorker::onDeathKnown(std::uint64_t aCall)
{
  if (auto* const call = find(aCall)) {
    retryOrEnd(*call, CallError::UpstreamFailed);
  }
}

bool
EntryWorker::mayTryAgain(const Call& aCall)
{
  const bool isInTime =
    aCall.stage == CallStage::Sending && mTimers.now() < aCall.deadline;
  return !(aCall.isOrder() && aCall.isSent) && isInTime &&
         aCall.attempts < kMostAttempts && mRetryBudget.take(1.0, mTimers.now());
}

void
EntryWorker::retryOrEnd(Call& aCall, CallError aError)
{
  const bool isSuspect = mTables.suspects.isStopped(aCall.fingerprint, mTimers.now());
  if (isSuspect) {
    logEvent(LogEvent::SuspectStopped, { { "service", aCall.route->service } });
  }
  if (isSuspect || !mayTryAgain(aCall)) {
    endWith(aCall, aError);
    return;
  }
  aCall.stage = CallStage::Waiting;
  send(aCall);
}

void
EntryWorker::endAttempt(Call& aCall, CallEnd aEnd)
{
  const auto now = mTimers.now();
  mTables.upstreams.finished(*aCall.upstream, aEnd, now - aCall.sentAt, now);
  aCall.excluded.push_back(aCall.upstream->name);
  aCall.upstream.reset();
}

} // namespace masticwall
