#include "CallId.h"
#include "CallLog.h"
#include "EntryWorker.h"
#include <telemetry/EventLog.h>

// The part of EntryWorker that ends calls and settles orders.
namespace masticwall {

namespace {

/** Approximate memory use of a recorded response, in bytes. */
std::size_t
memorySizeOf(const http::Response* aResponse)
{
  constexpr std::size_t kOverheadBytes = 256;
  if (aResponse == nullptr) {
    return 0;
  }
  auto n = kOverheadBytes + aResponse->body.size();
  for (const auto& it : aResponse->headers) {
    n += it.name.size() + it.value.size();
  }
  return n;
}

EndedCall
toEndedCall(const Call& aCall, Outcome aOutcome, std::string_view aReason, Instant aNow)
{
  EndedCall ended;
  ended.rank = aCall.rank();
  ended.outcome = aOutcome;
  ended.reason = aReason;
  ended.route = aCall.route->name;
  ended.service = aCall.service;
  if (aCall.tenant != nullptr) {
    ended.tenant = aCall.preset->largestTenants.labelOf(*aCall.tenant);
  }
  ended.totalTime = aNow - aCall.arrivedAt;
  if (!aCall.history.empty()) {
    const auto& last = aCall.history[aCall.attempt];
    ended.queueTime = aCall.history.front().sentAt - aCall.arrivedAt;
    ended.upstreamTime = (last.endedAt == Instant{} ? aNow : last.endedAt) - last.sentAt;
  }
  return ended;
}

} // namespace

void
EntryWorker::onDeadline(std::uint64_t aCall)
{
  auto* const call = findCall(aCall);
  if (call == nullptr) {
    return;
  }
  switch (call->stage) {
    case CallStage::Waiting:
    case CallStage::QueryingLoads:
      endWithError(*call, CallError::QueueTimeout);
      return;
    case CallStage::AwaitingOrder:
      endWithError(*call, CallError::OrderUnsettled);
      return;
    case CallStage::Settling:
      return;
    case CallStage::Sending:
      break;
  }
  mUpstreamConnections.closeStaleIdle(call->exchange);
  if (call->isClaimedOrder()) {
    // The order can't be cancelled; its outcome is still recorded for later calls with
    // the same key.
    respond(*call,
            Outcome::Unknown,
            nameOf(CallError::OrderUnsettled),
            mContext.dialect.encodeOutcome(
              Outcome::Unknown, CallError::OrderUnsettled, Duration{ 0 }));
    call->stage = CallStage::Settling;
    return;
  }
  call->mayHaveRun = true;
  mUpstreamConnections.cancel(call->exchange);
  if (call->upstream.has_value()) {
    endAttempt(*call, AttemptOutcome::Failed);
  }
  endWithError(*call, CallError::DeadlinePassed);
}

void
EntryWorker::onCallerGone(std::uint64_t aCall)
{
  auto* const call = findCall(aCall);
  if (call == nullptr) {
    return;
  }
  call->responder.reset();
  const bool mustContinue = call->isClaimedOrder() || call->stage == CallStage::Sending;
  if (call->isOrder() && mustContinue) {
    // An order that was sent may already be running. A claimed order continues in every
    // stage, and its outcome is recorded for later calls with the same key.
    return;
  }
  mUpstreamConnections.cancel(call->exchange);
  if (call->upstream.has_value()) {
    endAttempt(*call, AttemptOutcome::Cancelled);
  }
  releaseAdmission(*call);
  eraseCall(aCall);
}

void
EntryWorker::awaitOrderReport(Call& aCall, const ClaimId& aClaimHolder)
{
  releaseAdmission(aCall);
  aCall.stage = CallStage::AwaitingOrder;
  auto& context = mContext;
  const auto id = aCall.id;
  const auto worker = mIndex;
  context.postToMain([&context, aClaimHolder, id, worker, deadline = aCall.deadline] {
    context.controlPlane.queryOrder(
      aClaimHolder, deadline, [&context, id, worker](const Result<OrderReport>& aReport) {
        context.postToWorker(worker, [id, aReport](EntryWorker& aWorker) {
          aWorker.onOrderReport(id, aReport);
        });
      });
  });
}

void
EntryWorker::onOrderReport(std::uint64_t aCall, const Result<OrderReport>& aReport)
{
  auto* const call = findCall(aCall);
  if (call == nullptr) {
    return;
  }
  if (aReport.has_error()) {
    endWithError(*call, static_cast<CallError>(aReport.error().value()));
    return;
  }
  const auto& report = aReport.value();
  endWithOrderView(
    *call, { report.state, std::make_shared<const http::Response>(report.response) });
}

void
EntryWorker::onOrderSettled(std::uint64_t aCall, const OrderView& aView)
{
  if (auto* const call = findCall(aCall)) {
    endWithOrderView(*call, aView);
  }
}

void
EntryWorker::endWithOrderView(Call& aCall, const OrderView& aView)
{
  switch (aView.state) {
    case OrderState::Answered:
      endWithResponse(aCall, *aView.response);
      return;
    case OrderState::NotRun:
      endWithError(aCall, CallError::OrderNotRun);
      return;
    default:
      endWithError(aCall, CallError::ClaimantGone);
      return;
  }
}

void
EntryWorker::endWithError(Call& aCall, CallError aError)
{
  cancelHedge(aCall);
  if (aCall.lastErrorResponse.has_value()) {
    // An upstream has run the call, even if a later attempt did not.
    endWithResponse(aCall, *std::exchange(aCall.lastErrorResponse, std::nullopt));
    return;
  }
  const auto outcome = aCall.mayHaveRun ? Outcome::Unknown : outcomeOf(aError);
  if (outcome != outcomeOf(aError)) {
    // The original error's status would let the caller assume that the call has not run.
    aError = CallError::UpstreamFailed;
  }
  if (outcome == Outcome::NotRun) {
    aCall.heldOffFor = timeUntilAvailable(aCall);
    settleOrder(aCall, OrderState::NotRun, nullptr);
  } else {
    settleOrder(aCall, OrderState::Unknown, nullptr);
  }
  releaseAdmission(aCall);
  respond(aCall,
          outcome,
          nameOf(aError),
          mContext.dialect.encodeOutcome(outcome, aError, retryAfterFor(aCall)));
  eraseCall(aCall.id);
}

void
EntryWorker::endWithResponse(Call& aCall, const http::Response& aResponse)
{
  if (aCall.ownsOrder) {
    settleOrder(
      aCall, OrderState::Answered, std::make_shared<const http::Response>(aResponse));
  }
  releaseAdmission(aCall);
  respond(aCall, Outcome::Answered, {}, mContext.dialect.encodeResponse(aResponse));
  eraseCall(aCall.id);
}

void
EntryWorker::respond(Call& aCall,
                     Outcome aOutcome,
                     std::string_view aReason,
                     http::Response aResponse)
{
  if (aCall.responder == nullptr) {
    return;
  }
  const auto now = mTimers.now();
  logCall(aCall, aOutcome, aReason, now);
  const auto ended = toEndedCall(aCall, aOutcome, aReason, now);
  mTables.statistics.add(ended);
  mTables.metrics.add(ended);
  const auto responder = std::move(aCall.responder);
  responder->respond(std::move(aResponse));
}

void
EntryWorker::settleOrder(Call& aCall,
                         OrderState aState,
                         std::shared_ptr<const http::Response> aResponse)
{
  if (!aCall.ownsOrder) {
    return;
  }
  aCall.ownsOrder = false;
  const auto sequence = aCall.claim.sequence;
  const bool isRunElsewhere = aCall.stage == CallStage::AwaitingOrder;
  // If another process runs the order and its outcome is unknown, nothing is recorded,
  // so that a later call with the same key queries that process again.
  const auto waiters =
    isRunElsewhere && aState == OrderState::Unknown
      ? mTables.orders.remove(sequence)
      : mTables.orders.settle(sequence, aState, aResponse, memorySizeOf(aResponse.get()));
  const OrderView view{ aState, std::move(aResponse) };
  auto& context = mContext;
  for (const auto it : waiters) {
    if (CallId::workerOf(it) == CallId::kPeerWorker) {
      context.postToMain([&context, it, view] {
        context.controlPlane.sendOrderReport(
          it,
          { view.state, view.response == nullptr ? http::Response() : *view.response });
      });
    } else {
      context.postToWorker(CallId::workerOf(it), [it, view](EntryWorker& aWorker) {
        aWorker.onOrderSettled(it, view);
      });
    }
  }
  if (aState == OrderState::NotRun && aCall.mayHoldClaim) {
    context.postToMain(
      [&context, claim = aCall.claim] { context.controlPlane.release(claim); });
  }
  if (aState == OrderState::Unknown && !isRunElsewhere) {
    logEvent(LogEvent::OrderUnknown,
             { { "vm", aCall.claim.vm }, { "claim", aCall.claim.sequence } });
  }
}

void
EntryWorker::releaseAdmission(Call& aCall)
{
  returnQuota(aCall);
  const auto& service = aCall.service;
  if (aCall.hasSlot) {
    aCall.hasSlot = false;
    releaseSlot(service);
  } else if (aCall.stage == CallStage::Waiting) {
    // If the call has just been given a slot, it is no longer queued; then
    // onSlotGranted() finds no waiting call and releases the slot.
    mTables.admission.cancel(service, aCall.admissionRequest);
  }
}

} // namespace masticwall
