#include "CallNumber.h"
#include "CallStory.h"
#include "EntryWorker.h"
#include <telemetry/EventLog.h>

// The part of EntryWorker that ends calls and settles orders.
namespace masticwall {

namespace {

/** What a recorded answer holds in memory, roughly. */
std::size_t
bytesOf(const http::Response* aAnswer)
{
  constexpr std::size_t kOverhead = 256;
  if (aAnswer == nullptr) {
    return 0;
  }
  auto n = kOverhead + aAnswer->body.size();
  for (const auto& it : aAnswer->headers) {
    n += it.name.size() + it.value.size();
  }
  return n;
}

EndedCall
measure(const Call& aCall, Outcome aOutcome, std::string_view aReason, Instant aNow)
{
  EndedCall ended;
  ended.rank = aCall.route->rank;
  ended.outcome = aOutcome;
  ended.reason = aReason;
  ended.route = aCall.route->name;
  ended.service = aCall.service;
  ended.total = aNow - aCall.arrivedAt;
  if (!aCall.history.empty()) {
    const auto& last = aCall.history.back();
    ended.queued = aCall.history.front().sentAt - aCall.arrivedAt;
    ended.upstream = (last.endedAt == Instant{} ? aNow : last.endedAt) - last.sentAt;
  }
  return ended;
}

} // namespace

void
EntryWorker::onDeadline(std::uint64_t aCall)
{
  auto* const call = find(aCall);
  if (call == nullptr) {
    return;
  }
  switch (call->stage) {
    case CallStage::Waiting:
    case CallStage::Asking:
      endWith(*call, CallError::QueueTimeout);
      return;
    case CallStage::Watching:
      endWith(*call, CallError::OrderUnsettled);
      return;
    case CallStage::Settling:
      return;
    case CallStage::Sending:
      break;
  }
  mBack.distrustIdle(call->exchange);
  if (call->isClaimedOrder()) {
    // It cannot be taken back; its outcome is awaited for those who ask again.
    answer(*call,
           Outcome::Unknown,
           nameOf(CallError::OrderUnsettled),
           mHub.dialect.encodeOutcome(
             Outcome::Unknown, CallError::OrderUnsettled, Duration{ 0 }));
    call->stage = CallStage::Settling;
    return;
  }
  call->mayHaveRun = true;
  mBack.cancel(call->exchange);
  if (call->upstream.has_value()) {
    endAttempt(*call, CallEnd::Failed);
  }
  endWith(*call, CallError::DeadlinePassed);
}

void
EntryWorker::onCallerGone(std::uint64_t aCall)
{
  auto* const call = find(aCall);
  if (call == nullptr) {
    return;
  }
  call->responder.reset();
  const bool isHeld = call->isClaimedOrder() || call->stage == CallStage::Sending;
  if (call->isOrder() && isHeld) {
    // What may run already runs to its end.
    return;
  }
  mBack.cancel(call->exchange);
  if (call->upstream.has_value()) {
    endAttempt(*call, CallEnd::Cancelled);
  }
  leaveAdmission(*call);
  erase(aCall);
}

void
EntryWorker::watchHolder(Call& aCall, const ClaimId& aHolder)
{
  leaveAdmission(aCall);
  aCall.stage = CallStage::Watching;
  auto& hub = mHub;
  const auto id = aCall.id;
  const auto worker = mIndex;
  hub.postToMain([&hub, aHolder, id, worker, deadline = aCall.deadline] {
    hub.backplane.askClaimant(
      aHolder, deadline, [&hub, id, worker](const Result<OrderReport>& aReport) {
        hub.postToWorker(worker, [id, aReport](EntryWorker& aWorker) {
          aWorker.onHolderReport(id, aReport);
        });
      });
  });
}

void
EntryWorker::onHolderReport(std::uint64_t aCall, const Result<OrderReport>& aReport)
{
  auto* const call = find(aCall);
  if (call == nullptr) {
    return;
  }
  if (aReport.has_error()) {
    endWith(*call, static_cast<CallError>(aReport.error().value()));
    return;
  }
  const auto& report = aReport.value();
  endWithView(*call,
              { report.state, std::make_shared<const http::Response>(report.answer) });
}

void
EntryWorker::onSettled(std::uint64_t aCall, const OrderView& aView)
{
  if (auto* const call = find(aCall)) {
    endWithView(*call, aView);
  }
}

void
EntryWorker::endWithView(Call& aCall, const OrderView& aView)
{
  switch (aView.state) {
    case OrderState::Answered:
      endWithAnswer(aCall, *aView.answer);
      return;
    case OrderState::NotRun:
      endWith(aCall, CallError::OrderNotRun);
      return;
    default:
      endWith(aCall, CallError::ClaimantGone);
      return;
  }
}

void
EntryWorker::endWith(Call& aCall, CallError aError)
{
  const auto outcome = aCall.mayHaveRun ? Outcome::Unknown : outcomeOf(aError);
  if (outcome != outcomeOf(aError)) {
    // The status of a refusal would say that it has not run.
    aError = CallError::UpstreamFailed;
  }
  if (outcome == Outcome::NotRun) {
    settle(aCall, OrderState::NotRun, nullptr);
  } else {
    settle(aCall, OrderState::Unknown, nullptr);
  }
  leaveAdmission(aCall);
  answer(aCall,
         outcome,
         nameOf(aError),
         mHub.dialect.encodeOutcome(outcome, aError, retryAfter()));
  erase(aCall.id);
}

void
EntryWorker::endWithAnswer(Call& aCall, const http::Response& aAnswer)
{
  if (aCall.isOwner) {
    settle(aCall, OrderState::Answered, std::make_shared<const http::Response>(aAnswer));
  }
  leaveAdmission(aCall);
  answer(aCall, Outcome::Answered, {}, mHub.dialect.encodeAnswer(aAnswer));
  erase(aCall.id);
}

void
EntryWorker::answer(Call& aCall,
                    Outcome aOutcome,
                    std::string_view aReason,
                    http::Response aResponse)
{
  if (aCall.responder == nullptr) {
    return;
  }
  const auto now = mTimers.now();
  logStory(aCall, aOutcome, aReason, now);
  const auto ended = measure(aCall, aOutcome, aReason, now);
  mTables.statistics.add(ended);
  mTables.metrics.add(ended);
  const auto responder = std::move(aCall.responder);
  responder->respond(std::move(aResponse));
}

void
EntryWorker::settle(Call& aCall,
                    OrderState aState,
                    std::shared_ptr<const http::Response> aAnswer)
{
  if (!aCall.isOwner) {
    return;
  }
  aCall.isOwner = false;
  const auto sequence = aCall.claim.sequence;
  const bool isElsewhere = aCall.stage == CallStage::Watching;
  // What the claimant has not told is not kept: it may tell the next who asks.
  const auto waiters =
    isElsewhere && aState == OrderState::Unknown
      ? mTables.orders.abandon(sequence)
      : mTables.orders.settle(sequence, aState, aAnswer, bytesOf(aAnswer.get()));
  const OrderView view{ aState, std::move(aAnswer) };
  auto& hub = mHub;
  for (const auto it : waiters) {
    if (CallNumber::workerOf(it) == CallNumber::kPeers) {
      hub.postToMain([&hub, it, view] {
        hub.backplane.tellSettled(
          it, { view.state, view.answer == nullptr ? http::Response() : *view.answer });
      });
    } else {
      hub.postToWorker(CallNumber::workerOf(it),
                       [it, view](EntryWorker& aWorker) { aWorker.onSettled(it, view); });
    }
  }
  if (aState == OrderState::NotRun && aCall.isClaimed) {
    hub.postToMain([&hub, claim = aCall.claim] { hub.backplane.release(claim); });
  }
  if (aState == OrderState::Unknown && !isElsewhere) {
    logEvent(LogEvent::OrderUnknown,
             { { "vm", aCall.claim.vm }, { "claim", aCall.claim.sequence } });
  }
}

void
EntryWorker::leaveAdmission(Call& aCall)
{
  const auto& service = aCall.service;
  if (aCall.holdsSlot) {
    aCall.holdsSlot = false;
    startNext(service);
  } else if (aCall.stage == CallStage::Waiting) {
    // Not found if it was just started: then onSlot() finds no call and passes it on.
    mTables.admission.cancel(service, aCall.ticket);
  }
}

} // namespace masticwall
