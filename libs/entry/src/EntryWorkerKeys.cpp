#include "EntryWorker.h"
#include <telemetry/EventLog.h>

// The part of EntryWorker that refuses calls for their keys, and lets those with unknown
// keys wait until another VM was asked for a newer preset.
namespace masticwall {

void
EntryWorker::refuseKey(const KeyCheck& aCheck,
                       const Route& aRoute,
                       const Arrival& aArrival)
{
  const auto error = *aCheck.refusal();
  mTables.metrics.count(Counter::KeyRefusals, std::string(nameOf(aCheck.verdict)));
  logEvent(LogEvent::KeyRefused,
           { { "id", aArrival.metadata.id },
             { "reason", nameOf(error) },
             { "verdict", nameOf(aCheck.verdict) },
             { "route", aRoute.name },
             { "source_age_ms", toMilliseconds(mTables.sourceAge(mTimers.now())) } });
  aArrival.responder->respond(mContext.dialect.encodeOutcome(
    Outcome::NotRun, error, RetryAfterRange().draw(mRandom)));
}

bool
EntryWorker::awaitNewerPreset(Arrival& aArrival)
{
  const auto step = mPresetInquiry.onUnknownKey(mTimers.now());
  if (step == InquiryStep::Refuse) {
    return false;
  }
  const auto id = mNextArrival++;
  aArrival.hasWaited = true;
  aArrival.responder->onDisconnect([this, id] {
    if (mWaitingArrivals.erase(id) > 0) {
      mPresetInquiry.onCallGone();
    }
  });
  mWaitingArrivals.emplace(id, std::move(aArrival));
  if (step == InquiryStep::Ask) {
    askForNewerPreset();
  }
  return true;
}

void
EntryWorker::askForNewerPreset()
{
  const auto inquiry = ++mInquiry;
  mInquiryTimer = mTimers.scheduleAfter(PresetInquiry::kMaxWait,
                                        [this, inquiry] { onPresetInquiryEnd(inquiry); });
  auto& context = mContext;
  context.postToMain([&context, inquiry, worker = mIndex] {
    const auto onDone = [&context, inquiry, worker] {
      context.postToWorker(
        worker, [inquiry](EntryWorker& aWorker) { aWorker.onPresetInquiryEnd(inquiry); });
    };
    if (context.controlPlane.catchUp) {
      context.controlPlane.catchUp(onDone);
    } else {
      onDone();
    }
  });
}

void
EntryWorker::onPresetInquiryEnd(std::uint64_t aInquiry)
{
  if (aInquiry != mInquiry) {
    return; // it has ended before, or was waited for long enough
  }
  ++mInquiry;
  mInquiryTimer.cancel();
  mPresetInquiry.onEnd();
  for (auto& [id, arrival] : std::exchange(mWaitingArrivals, {})) {
    accept(std::move(arrival));
  }
}

} // namespace masticwall
