#include "CallLog.h"
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

/** Of the answered calls that were not late, one in this many is logged. */
constexpr std::uint64_t kSampleInterval = 256;

bool
shouldLog(const Call& aCall, Outcome aOutcome, Instant aNow)
{
  const auto target = aCall.route->target;
  const bool isLate = target > Duration{ 0 } && aNow - aCall.arrivedAt > target;
  return aOutcome != Outcome::Answered || isLate || aCall.id % kSampleInterval == 0;
}

void
logAttempt(const Call& aCall, const CallAttempt& aAttempt, std::size_t aNumber)
{
  const bool hasReport = aAttempt.load.receivedAt != Instant{};
  logEvent(
    LogEvent::CallAttempt,
    { { "id", aCall.metadata.id },
      { "attempt", aNumber },
      { "upstream", aAttempt.upstream },
      { "end", nameOf(aAttempt.outcome) },
      { "sent_ms", toMilliseconds(aAttempt.sentAt - aCall.arrivedAt) },
      { "took_ms", toMilliseconds(aAttempt.endedAt - aAttempt.sentAt) },
      { "running", aAttempt.load.inUse },
      { "waiting", aAttempt.load.queued },
      { "work_percent", aAttempt.load.processingTimePercent },
      { "report_age_ms",
        hasReport ? toMilliseconds(aAttempt.sentAt - aAttempt.load.receivedAt) : -1 },
      { "in_flight", aAttempt.inFlight } });
}

} // namespace

void
logCall(const Call& aCall, Outcome aOutcome, std::string_view aReason, Instant aNow)
{
  if (!shouldLog(aCall, aOutcome, aNow)) {
    return;
  }
  logEvent(LogEvent::CallEnded,
           { { "id", aCall.metadata.id },
             { "outcome", nameOf(aOutcome) },
             { "reason", aReason.empty() ? std::string_view("-") : aReason },
             { "route", aCall.route->name },
             { "service", aCall.service },
             { "tenant", aCall.tenant == nullptr ? "-" : aCall.tenantName() },
             { "rank", nameOf(aCall.rank()) },
             { "version", aCall.preset->version },
             { "stage", nameOf(aCall.stage) },
             { "took_ms", toMilliseconds(aNow - aCall.arrivedAt) },
             { "allowed_ms", toMilliseconds(aCall.deadline - aCall.arrivedAt) },
             { "attempts", aCall.history.size() },
             { "held_off_ms", toMilliseconds(aCall.heldOffFor) } });
  for (std::size_t i = 0; i < aCall.history.size(); ++i) {
    logAttempt(aCall, aCall.history[i], i + 1);
  }
}

} // namespace masticwall
