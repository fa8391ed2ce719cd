#include "CallId.h"
#include "CallerIdentity.h"
#include "EntryWorker.h"
#include <core/WallClock.h>
#include <decide/RouteMatcher.h>
#include <decide/TenantWeight.h>
#include <functional>
#include <messages/HeaderNames.h>
#include <telemetry/EventLog.h>

// The part of EntryWorker that accepts and admits calls.
namespace masticwall {

namespace {

/** Identifies a caller for fair queueing: by its name, or its address if it has none. */
std::uint64_t
callerKey(const http::Request& aRequest, const http::Responder& aResponder)
{
  const auto caller = callerOf(aRequest);
  return caller.empty() ? std::hash<std::string>()(aResponder.callerAddress())
                        : std::hash<std::string_view>()(caller);
}

/** Where the preset has a list of tenants, each has its share of the room, whatever its
 * connections. A caller without one counts as a tenant without a quota. */
void
setShare(const Call& aCall, AdmissionRequest& aRequest)
{
  if (!aCall.preset->tenants.has_value()) {
    return;
  }
  const auto* const tenant = aCall.tenant;
  aRequest.tenant =
    tenant == nullptr ? aRequest.caller : std::hash<std::string>()(tenant->name);
  aRequest.weight =
    tenantWeight(tenant == nullptr ? Tenant{} : *tenant, aCall.preset->quota);
}

} // namespace

void
EntryWorker::onRequest(http::Request aRequest, http::ResponderPtr aResponder)
{
  const auto& dialect = mContext.dialect;
  if (dialect.healthPath != nullptr && aRequest.target == dialect.healthPath) {
    respondToHealthCheck(aResponder);
    return;
  }
  auto metadata = dialect.readMetadata(aRequest);
  accept(
    { std::move(aRequest), std::move(aResponder), std::move(metadata), mTimers.now() });
}

void
EntryWorker::accept(Arrival aArrival)
{
  auto& request = aArrival.request;
  auto& metadata = aArrival.metadata;
  const auto preset = mTables.presets.current();
  if (preset == nullptr) {
    refuseUnrouted(metadata, aArrival.responder, CallError::NotReady);
    return;
  }
  const auto route = matchRoute(*preset, metadata.host, request.method, request.target);
  if (route.has_error()) {
    refuseUnrouted(metadata, aArrival.responder, CallError::NoRoute);
    return;
  }
  const auto keyCheck = KeyCheck::of(
    *preset, *route.value(), metadata.credential, mTables.sourceAge(mTimers.now()));
  if (keyCheck.refusal().has_value()) {
    const bool mayBeNew = keyCheck.verdict == KeyVerdict::Unknown && !aArrival.hasWaited;
    if (!mayBeNew || !awaitNewerPreset(aArrival)) {
      refuseKey(keyCheck, *route.value(), aArrival);
    }
    return;
  }
  metadata.credential = {}; // in memory no longer than needed
  auto call = std::make_unique<Call>();
  call->id = CallId::make(mIndex, mNextSequence++);
  call->preset = preset;
  call->route = route.value();
  call->tenant = keyCheck.tenant;
  call->service = mTrafficSplit.next(*call->route, mRandom);
  call->arrivedAt = aArrival.at;
  call->deadline =
    call->arrivedAt +
    std::min(call->route->deadline, metadata.callerTimeout.value_or(Duration::max()));
  call->metadata = std::move(metadata);
  call->admissionRequest = { call->id,       callerKey(request, *aArrival.responder),
                             mIndex,         call->rank(),
                             call->deadline, call->arrivedAt };
  setShare(*call, call->admissionRequest);
  call->isClaimGranted = !call->isClaimedOrder();
  call->request = std::move(request);
  call->responder = std::move(aArrival.responder);
  auto& added = *call;
  mCalls[added.id] = std::move(call);
  mRetryBudget.recordCall(added.service, added.arrivedAt, mRandom);
  if (mTables.settings.hedging.isEnabled()) {
    mHedgeBudget.recordCall(added.service, added.arrivedAt, mRandom);
  }
  startCall(added);
}

void
EntryWorker::refuseUnrouted(const CallMetadata& aMetadata,
                            const http::ResponderPtr& aResponder,
                            CallError aError)
{
  logEvent(
    LogEvent::CallRefused,
    { { "id", aMetadata.id }, { "reason", nameOf(aError) }, { "host", aMetadata.host } });
  aResponder->respond(mContext.dialect.encodeOutcome(
    Outcome::NotRun, aError, RetryAfterRange().draw(mRandom)));
}

void
EntryWorker::respondToHealthCheck(const http::ResponderPtr& aResponder) const
{
  constexpr http::Status kOk = 200;
  constexpr http::Status kServiceUnavailable = 503;
  http::Response response;
  const bool isReady = mTables.presets.current() != nullptr && !mTables.isLeaving;
  response.status = isReady ? kOk : kServiceUnavailable;
  response.body = isReady ? "ready\n" : "not ready\n";
  aResponder->respond(std::move(response));
}

void
EntryWorker::startCall(Call& aCall)
{
  const auto id = aCall.id;
  restrictRegions(aCall);
  aCall.responder->onDisconnect([this, id] { onCallerGone(id); });
  aCall.deadlineTimer =
    mTimers.scheduleAt(aCall.deadline, [this, id] { onDeadline(id); });
  if (!isInTimeForDrain(aCall)) {
    endWithError(aCall, CallError::Leaving);
    return;
  }
  if (aCall.isOrder() || !mTables.suspects.isEmpty()) {
    aCall.fingerprint =
      requestDigest(aCall.request, aCall.metadata.host, aCall.tenantName());
    const auto now = mTimers.now();
    if (mTables.suspects.isBlocked(aCall.fingerprint, now)) {
      aCall.isTrial = mTables.suspects.tryTakeTrial(
        aCall.fingerprint, mTables.entryCount, now, mRandom);
      if (!aCall.isTrial) {
        endWithError(aCall, CallError::Suspect);
        return;
      }
      logEvent(LogEvent::SuspectTried,
               { { "id", aCall.metadata.id }, { "service", aCall.service } });
    }
  }
  if (aCall.isClaimedOrder() && !registerOrder(aCall)) {
    return;
  }
  startQuota(aCall);
}

bool
EntryWorker::registerOrder(Call& aCall)
{
  if (http::findHeader(aCall.request.headers, headers::kIdempotencyKey).empty()) {
    endWithError(aCall, CallError::MissingKey);
    return false;
  }
  aCall.key = keyDigest(aCall.request, aCall.tenantName());
  aCall.claim = { mTables.settings.common.vm,
                  mTables.incarnation,
                  mTables.nextClaimSequence++ };
  const auto arrival = mTables.orders.arrive(
    aCall.claim, aCall.key, aCall.fingerprint, aCall.id, mTimers.now());
  switch (arrival.entry) {
    case OrderKeyStatus::NewKey:
      aCall.ownsOrder = true;
      return true;
    case OrderKeyStatus::Joined:
      aCall.stage = CallStage::AwaitingOrder;
      return false;
    case OrderKeyStatus::Recorded:
      endWithOrderView(aCall, arrival.view);
      return false;
    case OrderKeyStatus::KeyReused:
      endWithError(aCall, CallError::KeyReused);
      return false;
  }
  return false;
}

void
EntryWorker::requestAdmission(Call& aCall)
{
  if (!availabilityFor(aCall).isAvailable) {
    endAsUnavailable(aCall);
    return;
  }
  const auto admission = mTables.admission.offer(aCall.service,
                                                 aCall.admissionRequest,
                                                 mTables.upstreams.hasRoom(aCall.service),
                                                 mTimers.now());
  if (admission.displaced.has_value()) {
    const auto displaced = *admission.displaced;
    mContext.postToWorker(displaced.worker, [displaced](EntryWorker& aWorker) {
      aWorker.onDisplaced(displaced.call);
    });
  }
  if (admission.verdict == AdmissionVerdict::Refuse) {
    endWithError(aCall, CallError::Overload);
    return;
  }
  aCall.hasSlot = admission.verdict == AdmissionVerdict::Start;
  if (aCall.isClaimedOrder()) {
    // Requested while the call waits for its slot, so that the two waits overlap.
    requestClaim(aCall);
    return;
  }
  sendIfReady(aCall);
}

void
EntryWorker::requestClaim(Call& aCall)
{
  aCall.mayHoldClaim = true;
  const Claim claim{ aCall.claim, aCall.key, aCall.fingerprint, wallClockMs() };
  auto& context = mContext;
  const auto id = aCall.id;
  const auto worker = mIndex;
  context.postToMain([&context, claim, id, worker, deadline = aCall.deadline] {
    context.controlPlane.claim(
      claim, deadline, [&context, id, worker](const ClaimVerdict& aVerdict) {
        context.postToWorker(worker, [id, aVerdict](EntryWorker& aWorker) {
          aWorker.onClaimVerdict(id, aVerdict);
        });
      });
  });
}

void
EntryWorker::onSlotGranted(std::uint64_t aCall, const std::string& aService)
{
  auto* const call = findCall(aCall);
  if (call == nullptr || call->stage != CallStage::Waiting) {
    releaseSlot(aService);
    return;
  }
  call->hasSlot = true;
  sendIfReady(*call);
}

void
EntryWorker::onDisplaced(std::uint64_t aCall)
{
  auto* const call = findCall(aCall);
  if (call != nullptr && call->stage == CallStage::Waiting) {
    endWithError(*call, CallError::Overload);
  }
}

void
EntryWorker::onClaimVerdict(std::uint64_t aCall, const ClaimVerdict& aVerdict)
{
  auto* const call = findCall(aCall);
  if (call == nullptr || call->stage != CallStage::Waiting) {
    return;
  }
  switch (aVerdict.claimStatus) {
    case ClaimStatus::Granted:
      call->isClaimGranted = true;
      sendIfReady(*call);
      return;
    case ClaimStatus::Lost:
      call->mayHoldClaim = false;
      awaitOrderReport(*call, aVerdict.holder);
      return;
    case ClaimStatus::KeyReused:
      call->mayHoldClaim = false;
      endWithError(*call, CallError::KeyReused);
      return;
    case ClaimStatus::Unavailable:
      endWithError(*call, CallError::ClaimUnavailable);
      return;
  }
}

} // namespace masticwall
