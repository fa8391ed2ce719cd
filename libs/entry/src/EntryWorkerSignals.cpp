#include "EntryWorker.h"
#include <telemetry/EventLog.h>

// The part of EntryWorker that acts on what upstreams report about themselves.
//
// Believed is a response that belongs to a request of this process: to a call by its
// request id, which goes to the expected instance only, or to a load query if it names
// the instance itself. So late copies, surplus bytes and the responses of another
// instance at the address mark nobody. A report that is missed costs nothing, as the next
// response of the upstream has it again. A false one can only come from the upstream
// itself.
namespace masticwall {

void
EntryWorker::applyReport(const UpstreamAddress& aUpstream,
                         const UpstreamReport& aReport,
                         ReportSource aSource,
                         Instant aSentAt)
{
  const bool isFromOther = !aReport.instance.empty() &&
                           aReport.instance != aUpstream.name &&
                           aReport.instance != aUpstream.instance;
  if (aReport.isMisdirected) {
    markUpstreamLeaving(aUpstream, aSource);
    return;
  }
  if (isFromOther) {
    return;
  }
  if (aReport.load.has_value()) {
    mTables.upstreams.reportLoad(aUpstream, *aReport.load);
  }
  // A load query names no instance that it is meant for.
  const bool isIdentified =
    aSource == ReportSource::Response || !aReport.instance.empty();
  if (aReport.isLeaving && isIdentified) {
    markUpstreamLeaving(aUpstream, aSource);
  }
  recordLimit(aUpstream, aReport, aSource, aSentAt);
  if (isIdentified) {
    recordWarmUp(aUpstream, aReport, aSource);
  }
  if (aReport.holdOff.has_value()) {
    holdOffUpstream(aUpstream, *aReport.holdOff, aSource);
  }
  if (!aReport.malformedHoldOff.empty()) {
    mTables.metrics.count(Counter::UpstreamSignals, "bad-retry-after");
    logEvent(LogEvent::RetryAfterBad,
             { { "upstream", aUpstream.name }, { "text", aReport.malformedHoldOff } });
  }
}

void
EntryWorker::recordLimit(const UpstreamAddress& aUpstream,
                         const UpstreamReport& aReport,
                         ReportSource aSource,
                         Instant aSentAt)
{
  if (!aReport.malformedRequestLimit.empty()) {
    mTables.metrics.count(Counter::UpstreamSignals, "bad-server-limit");
    logEvent(
      LogEvent::ServerLimitBad,
      { { "upstream", aUpstream.name }, { "text", aReport.malformedRequestLimit } });
    return;
  }
  const auto& limit = aReport.requestLimit;
  // A load query has no id, so that its response may be a late copy of an earlier one.
  if (!limit.has_value() && aSource == ReportSource::LoadQuery) {
    return;
  }
  const auto change =
    mTables.upstreams.recordLimit(aUpstream, limit, aSentAt, mTimers.now());
  if (change == LimitChange::None) {
    return;
  }
  if (change != LimitChange::Changed) {
    mTables.metrics.count(Counter::UpstreamSignals,
                          change == LimitChange::Begun ? "limited" : "unlimited");
  }
  logEvent(LogEvent::UpstreamLimit,
           { { "upstream", aUpstream.name },
             { "instance", aUpstream.instance },
             { "service", aUpstream.service },
             { "change", nameOf(change) },
             { "sign", nameOf(aSource) },
             { "per_second", std::to_string(limit.value_or(0.0)) } });
}

void
EntryWorker::markUpstreamLeaving(const UpstreamAddress& aUpstream, ReportSource aSource)
{
  if (!mTables.upstreams.markLeaving(aUpstream, mTimers.now())) {
    return;
  }
  mTables.metrics.count(Counter::UpstreamSignals, "leaving");
  logEvent(LogEvent::UpstreamLeaving,
           { { "upstream", aUpstream.name },
             { "instance", aUpstream.instance },
             { "sign", nameOf(aSource) } });
  auto& context = mContext;
  const auto workers = static_cast<std::uint32_t>(mTables.settings.workers);
  for (std::uint32_t i = 0; i < workers; ++i) {
    context.postToWorker(i, [aUpstream](EntryWorker& aWorker) {
      aWorker.mUpstreamConnections.closeWhenIdle(
        QHostAddress(QString::fromStdString(aUpstream.host)), aUpstream.port);
    });
  }
  context.postToMain([&context, name = aUpstream.name, instance = aUpstream.instance] {
    if (context.controlPlane.reportLeaving) {
      context.controlPlane.reportLeaving(name, instance);
    }
  });
  refuseWaitingIfUnavailable(aUpstream);
}

void
EntryWorker::holdOffUpstream(const UpstreamAddress& aUpstream,
                             Duration aDuration,
                             ReportSource aSource)
{
  const auto now = mTimers.now();
  const auto until = mTables.upstreams.holdOff(aUpstream, aDuration, now);
  mTables.metrics.count(Counter::UpstreamSignals, "held-off");
  logEvent(LogEvent::UpstreamHeldOff,
           { { "upstream", aUpstream.name },
             { "instance", aUpstream.instance },
             { "sign", nameOf(aSource) },
             { "asked_ms", toMilliseconds(aDuration) },
             { "held_off_ms", toMilliseconds(until - now) } });
  refuseWaitingIfUnavailable(aUpstream);
}

} // namespace masticwall
