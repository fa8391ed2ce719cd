#include "CallId.h"
#include "EntryWorker.h"
#include <algorithm>
#include <telemetry/EventLog.h>
#include <utility>

// The part of EntryWorker that keeps calls within the quotas of their tenants.
namespace masticwall {

namespace {

/** For which the permit of a call that has ended meanwhile is kept for another. */
constexpr Duration kUnclaimedTime = std::chrono::milliseconds(50);

} // namespace

void
EntryWorker::startQuota(Call& aCall)
{
  if (aCall.tenant != nullptr) {
    aCall.quota = QuotaTerms::of(*aCall.tenant, aCall.preset->quota);
  }
  if (!aCall.quota.has_value() || drawQuota(aCall)) {
    requestAdmission(aCall);
  }
}

bool
EntryWorker::hasValidQuota(Call& aCall)
{
  if (!aCall.quota.has_value()) {
    return true;
  }
  if (aCall.awaitsQuota) {
    return false;
  }
  if (mTimers.now() < aCall.quotaExpiresAt) {
    return true;
  }
  returnQuota(aCall);
  return drawQuota(aCall);
}

bool
EntryWorker::drawQuota(Call& aCall)
{
  const auto now = mTimers.now();
  const auto& tenant = aCall.tenant->name;
  const auto draw = mTables.quotas.draw(tenant, aCall.id, *aCall.quota, now);
  mTables.metrics.count(Counter::Quotas, std::string(nameOf(draw.verdict)));
  if (draw.shouldRequest) {
    requestQuota(tenant);
  }
  aCall.awaitsQuota = draw.verdict == QuotaVerdict::Waiting;
  aCall.hasQuotaPermit = draw.verdict == QuotaVerdict::Granted;
  aCall.quotaDrawnUntil = draw.drawnUntil;
  aCall.quotaExpiresAt = draw.drawnUntil + aCall.quota->callLifetime;
  if (draw.verdict == QuotaVerdict::Refused) {
    endAsOverQuota(aCall);
    return false;
  }
  return aCall.hasQuotaPermit;
}

void
EntryWorker::requestQuota(const std::string& aTenant)
{
  auto& context = mContext;
  context.postToMain([&context, aTenant] {
    if (!context.controlPlane.requestQuota) {
      return;
    }
    context.controlPlane.requestQuota(
      aTenant, [&context, aTenant](const QuotaDecisions& aDecisions) {
        const auto post = [&](std::uint64_t aCall, bool aIsGranted) {
          context.postToWorker(CallId::workerOf(aCall),
                               [=, tenant = aTenant](EntryWorker& aWorker) {
                                 aWorker.onQuotaDecided(aCall, tenant, aIsGranted);
                               });
        };
        for (const auto it : aDecisions.granted) {
          post(it, true);
        }
        for (const auto it : aDecisions.refused) {
          post(it, false);
        }
      });
  });
}

void
EntryWorker::onQuotaDecided(std::uint64_t aCall,
                            const std::string& aTenant,
                            bool aIsGranted)
{
  auto* const call = findCall(aCall);
  if (call == nullptr || !call->awaitsQuota) {
    if (aIsGranted) {
      mTables.quotas.giveBack(aTenant, mTimers.now() + kUnclaimedTime, mTimers.now());
    }
    return;
  }
  call->awaitsQuota = false;
  if (!aIsGranted) {
    endAsOverQuota(*call);
    return;
  }
  call->hasQuotaPermit = true;
  call->quotaDrawnUntil = mTimers.now() + call->quota->stockLifetime;
  call->quotaExpiresAt = call->quotaDrawnUntil + call->quota->callLifetime;
  if (call->hasSlot) {
    sendIfReady(*call);
  } else {
    requestAdmission(*call);
  }
}

void
EntryWorker::endAsOverQuota(Call& aCall)
{
  const auto now = mTimers.now();
  const auto& tenant = aCall.tenant->name;
  if (mTables.quotas.recordRefusal(tenant, now)) {
    logEvent(LogEvent::OverQuota,
             { { "tenant", tenant },
               { "per_second", std::to_string(aCall.tenant->perSecond) },
               { "burst", std::to_string(aCall.tenant->burst) },
               { "version", aCall.preset->version } });
  }
  // Those that are refused together don't come back together.
  std::uniform_real_distribution<double> spread(1.0, 1.25);
  aCall.quotaRetryAfter = std::chrono::duration_cast<Duration>(
    mTables.quotas.retryAfter(tenant, now) * spread(mRandom));
  endWithError(aCall, CallError::OverQuota);
}

void
EntryWorker::returnQuota(Call& aCall)
{
  aCall.awaitsQuota = false;
  if (!std::exchange(aCall.hasQuotaPermit, false)) {
    return;
  }
  const bool mayHaveRun = std::any_of(
    aCall.history.begin(), aCall.history.end(), [](const CallAttempt& aAttempt) {
      return aAttempt.outcome != AttemptOutcome::Shed;
    });
  if (!mayHaveRun) {
    mTables.quotas.giveBack(aCall.tenant->name, aCall.quotaDrawnUntil, mTimers.now());
  }
}

} // namespace masticwall
