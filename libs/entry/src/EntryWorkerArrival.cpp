#include "CallNumber.h"
#include "CallerIdentity.h"
#include "EntryWorker.h"
#include <core/WallClock.h>
#include <decide/RouteMatcher.h>
#include <functional>
#include <messages/HeaderNames.h>
#include <telemetry/EventLog.h>

// The part of EntryWorker that takes calls in.
namespace masticwall {

namespace {

std::uint64_t
fairnessKey(const http::Request& aRequest, const http::Responder& aResponder)
{
  const auto caller = callerOf(aRequest);
  return caller.empty() ? std::hash<std::string>()(aResponder.callerAddress())
                        : std::hash<std::string_view>()(caller);
}

} // namespace

void
EntryWorker::onRequest(http::Request aRequest, http::ResponderPtr aResponder)
{
  const auto& dialect = mHub.dialect;
  if (dialect.healthPath != nullptr && aRequest.target == dialect.healthPath) {
    answerHealth(aResponder);
    return;
  }
  auto terms = dialect.readTerms(aRequest);
  const auto preset = mTables.presets.current();
  if (preset == nullptr) {
    refuseUnrouted(terms, aResponder, CallError::NotReady);
    return;
  }
  const auto route = matchRoute(*preset, terms.host, aRequest.method, aRequest.target);
  if (route.has_error()) {
    refuseUnrouted(terms, aResponder, CallError::NoRoute);
    return;
  }
  auto call = std::make_unique<Call>();
  call->id = CallNumber::make(mIndex, mNextCall++);
  call->preset = preset;
  call->route = route.value();
  call->service = mSplit.next(*call->route, mRandom);
  call->arrivedAt = mTimers.now();
  call->deadline = call->arrivedAt + std::min(call->route->deadline,
                                              terms.patience.value_or(Duration::max()));
  call->terms = std::move(terms);
  call->ticket = { call->id,       fairnessKey(aRequest, *aResponder),
                   mIndex,         call->route->rank,
                   call->deadline, call->arrivedAt };
  call->isGranted = !call->isClaimedOrder();
  call->request = std::move(aRequest);
  call->responder = std::move(aResponder);
  auto& added = *call;
  mCalls[added.id] = std::move(call);
  mRetryBudget.noteCall(added.service);
  begin(added);
}

void
EntryWorker::refuseUnrouted(const CallTerms& aTerms,
                            const http::ResponderPtr& aResponder,
                            CallError aError)
{
  logEvent(
    LogEvent::CallRefused,
    { { "id", aTerms.id }, { "reason", nameOf(aError) }, { "host", aTerms.host } });
  aResponder->respond(mHub.dialect.encodeOutcome(Outcome::NotRun, aError, retryAfter()));
}

void
EntryWorker::answerHealth(const http::ResponderPtr& aResponder) const
{
  constexpr int kServiceUnavailable = 503;
  http::Response response;
  const bool isReady = mTables.presets.current() != nullptr && !mTables.isLeaving;
  response.status = isReady ? 200 : kServiceUnavailable;
  response.body = isReady ? "ready\n" : "not ready\n";
  aResponder->respond(std::move(response));
}

void
EntryWorker::begin(Call& aCall)
{
  const auto id = aCall.id;
  aCall.responder->onGone([this, id] { onCallerGone(id); });
  aCall.deadlineTimer = mTimers.subscribe(aCall.deadline, [this, id] { onDeadline(id); });
  if (aCall.isOrder() || !mTables.suspects.isEmpty()) {
    aCall.fingerprint = requestDigest(aCall.request);
    if (mTables.suspects.isStopped(aCall.fingerprint, mTimers.now())) {
      endWith(aCall, CallError::Suspect);
      return;
    }
  }
  if (aCall.isClaimedOrder() && !beginOrder(aCall)) {
    return;
  }
  beginAdmission(aCall);
}

bool
EntryWorker::beginOrder(Call& aCall)
{
  if (http::findHeader(aCall.request.headers, headers::kIdempotencyKey).empty()) {
    endWith(aCall, CallError::MissingKey);
    return false;
  }
  aCall.key = keyDigest(aCall.request);
  aCall.claim = { mTables.settings.common.vm, mTables.incarnation, mTables.nextClaim++ };
  const auto arrival = mTables.orders.arrive(
    aCall.claim, aCall.key, aCall.fingerprint, aCall.id, mTimers.now());
  switch (arrival.entry) {
    case OrderEntry::Begun:
      aCall.isOwner = true;
      return true;
    case OrderEntry::Joined:
      aCall.stage = CallStage::Watching;
      return false;
    case OrderEntry::Recorded:
      endWithView(aCall, arrival.view);
      return false;
    case OrderEntry::KeyReused:
      endWith(aCall, CallError::KeyReused);
      return false;
  }
  return false;
}

void
EntryWorker::beginAdmission(Call& aCall)
{
  const auto admission =
    mTables.admission.offer(aCall.service, aCall.ticket, mTimers.now());
  if (admission.displaced.has_value()) {
    const auto displaced = *admission.displaced;
    mHub.postToWorker(displaced.worker, [displaced](EntryWorker& aWorker) {
      aWorker.onDisplaced(displaced.call);
    });
  }
  if (admission.verdict == AdmissionVerdict::Refuse) {
    endWith(aCall, CallError::Overload);
    return;
  }
  aCall.holdsSlot = admission.verdict == AdmissionVerdict::Start;
  if (aCall.isClaimedOrder()) {
    // Made while the call waits for its slot, so that the two waits overlap.
    askClaim(aCall);
    return;
  }
  sendIfReady(aCall);
}

void
EntryWorker::askClaim(Call& aCall)
{
  aCall.isClaimed = true;
  const Claim claim{ aCall.claim, aCall.key, aCall.fingerprint, wallClockMs() };
  auto& hub = mHub;
  const auto id = aCall.id;
  const auto worker = mIndex;
  hub.postToMain([&hub, claim, id, worker, deadline = aCall.deadline] {
    hub.backplane.claim(
      claim, deadline, [&hub, id, worker](const ClaimVerdict& aVerdict) {
        hub.postToWorker(worker, [id, aVerdict](EntryWorker& aWorker) {
          aWorker.onVerdict(id, aVerdict);
        });
      });
  });
}

void
EntryWorker::onSlot(std::uint64_t aCall, const std::string& aService)
{
  auto* const call = find(aCall);
  if (call == nullptr || call->stage != CallStage::Waiting) {
    startNext(aService);
    return;
  }
  call->holdsSlot = true;
  sendIfReady(*call);
}

void
EntryWorker::onDisplaced(std::uint64_t aCall)
{
  auto* const call = find(aCall);
  if (call != nullptr && call->stage == CallStage::Waiting) {
    endWith(*call, CallError::Overload);
  }
}

void
EntryWorker::onVerdict(std::uint64_t aCall, const ClaimVerdict& aVerdict)
{
  auto* const call = find(aCall);
  if (call == nullptr || call->stage != CallStage::Waiting) {
    return;
  }
  switch (aVerdict.standing) {
    case ClaimStanding::Granted:
      call->isGranted = true;
      sendIfReady(*call);
      return;
    case ClaimStanding::Lost:
      call->isClaimed = false;
      watchHolder(*call, aVerdict.holder);
      return;
    case ClaimStanding::KeyReused:
      call->isClaimed = false;
      endWith(*call, CallError::KeyReused);
      return;
    case ClaimStanding::Unavailable:
      endWith(*call, CallError::ClaimUnavailable);
      return;
  }
}

} // namespace masticwall
