#include "EntryWorker.h"

// The part of EntryWorker that refuses calls which no upstream can run now: all of those
// that they may use leave, are evacuated, are held off or have no permit.
namespace masticwall {

namespace {

/** What a call of this rank can get, more urgent ones can get as well. */
constexpr Rank kLeastUrgent = EnumTable<Rank>::kEntries.back().value;

} // namespace

void
EntryWorker::restrictRegions(Call& aCall)
{
  aCall.allowedRegions = aCall.route->allowedRegions;
  if (aCall.tenant != nullptr) {
    aCall.allowedRegions =
      aCall.allowedRegions.intersectedWith(aCall.tenant->allowedRegions);
  }
  mRestrictedCalls += aCall.allowedRegions.isAny() ? 0 : 1;
}

ServiceAvailability
EntryWorker::availabilityFor(const Call& aCall) const
{
  return mTables.upstreams.availability(
    aCall.service, aCall.rank(), aCall.allowedRegions, mTimers.now());
}

void
EntryWorker::onEvacuated()
{
  refuseRestricted({});
  const auto preset = mTables.presets.current();
  if (preset == nullptr || mIndex != 0) {
    return; // the queues are shared: one worker refuses for all
  }
  for (const auto& it : preset->services) {
    refuseWaitingIfUnavailable(it.name);
  }
}

void
EntryWorker::refuseWaitingIfUnavailable(const UpstreamAddress& aUpstream)
{
  refuseWaitingIfUnavailable(aUpstream.service);
  const auto preset = mTables.presets.current();
  if (preset == nullptr || !preset->restrictsRegions) {
    return;
  }
  const auto region = AllowedRegions::only({ aUpstream.region });
  const auto inRegion = mTables.upstreams.availability(
    aUpstream.service, kLeastUrgent, region, mTimers.now());
  if (inRegion.isAvailable) {
    return;
  }
  const auto workers = static_cast<std::uint32_t>(mTables.settings.workers);
  for (std::uint32_t i = 0; i < workers; ++i) {
    mContext.postToWorker(i, [service = aUpstream.service](EntryWorker& aWorker) {
      aWorker.refuseRestricted(service);
    });
  }
}

void
EntryWorker::refuseWaitingIfUnavailable(const std::string& aService)
{
  const auto now = mTimers.now();
  for (const auto& rank : EnumTable<Rank>::kEntries) {
    if (mTables.upstreams.availability(aService, rank.value, {}, now).isAvailable) {
      continue;
    }
    // What a call can't get, less urgent ones can't get either.
    for (const auto& it : mTables.admission.removeWaiting(aService, rank.value)) {
      mContext.postToWorker(it.worker, [call = it.call](EntryWorker& aWorker) {
        aWorker.onUnavailable(call);
      });
    }
    return;
  }
}

void
EntryWorker::refuseRestricted(const std::string& aService)
{
  if (mRestrictedCalls == 0) {
    return;
  }
  std::vector<std::uint64_t> unavailable;
  for (const auto& [id, call] : mCalls) {
    const bool isWaiting = call->stage == CallStage::Waiting && !call->hasSlot;
    const bool isOfService = aService.empty() || call->service == aService;
    const bool isRestricted = !call->allowedRegions.isAny();
    if (isWaiting && isOfService && isRestricted && !availabilityFor(*call).isAvailable) {
      unavailable.push_back(id);
    }
  }
  for (const auto id : unavailable) {
    onUnavailable(id);
  }
}

void
EntryWorker::onUnavailable(std::uint64_t aCall)
{
  auto* const call = findCall(aCall);
  if (call != nullptr && call->stage == CallStage::Waiting) {
    endAsUnavailable(*call);
  }
}

void
EntryWorker::endAsUnavailable(Call& aCall)
{
  const auto availability = availabilityFor(aCall);
  if (availability.isLimited) {
    endWithError(aCall, CallError::Limited);
  } else if (availability.nextAt.has_value()) {
    endWithError(aCall, CallError::HeldOff);
  } else {
    endWithError(aCall,
                 availability.isEvacuated ? CallError::Evacuated : CallError::NoUpstream);
  }
}

Duration
EntryWorker::timeUntilAvailable(const Call& aCall) const
{
  const auto nextAt = availabilityFor(aCall).nextAt;
  return nextAt.has_value() ? std::max(Duration{ 0 }, *nextAt - mTimers.now())
                            : Duration{ 0 };
}

} // namespace masticwall
