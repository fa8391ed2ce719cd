#include "EntryWorker.h"
#include <telemetry/EventLog.h>

// The part of EntryWorker that acts on what upstreams report about their warm-up.
namespace masticwall {

void
EntryWorker::recordWarmUp(const UpstreamAddress& aUpstream,
                          const UpstreamReport& aReport,
                          ReportSource aSource)
{
  if (!aReport.malformedWarmUp.empty()) {
    mTables.metrics.count(Counter::UpstreamSignals, "bad-warm-up");
    logEvent(LogEvent::WarmUpBad,
             { { "upstream", aUpstream.name }, { "text", aReport.malformedWarmUp } });
    return;
  }
  const auto left = aReport.warmUpLeft.value_or(Duration{ 0 });
  if (aSource == ReportSource::Response && left == Duration{ 0 }) {
    return; // says nothing: only health responses tell of a warm-up
  }
  const auto change = mTables.upstreams.recordWarmUp(aUpstream, left, mTimers.now());
  if (change == LimitChange::Begun) {
    mTables.metrics.count(Counter::UpstreamSignals, "cold");
    logEvent(LogEvent::UpstreamCold,
             { { "upstream", aUpstream.name },
               { "instance", aUpstream.instance },
               { "service", aUpstream.service },
               { "sign", nameOf(aSource) },
               { "left_ms", toMilliseconds(left) } });
  }
}

} // namespace masticwall
