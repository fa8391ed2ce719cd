#include "ProcessGauges.h"
#include <telemetry/EventLog.h>

namespace masticwall {

void
setGauges(EntryTables& aTables, const ControlPlane& aBackplane)
{
  auto& metrics = aTables.metrics;
  const auto preset = aTables.presets.current();
  metrics.set(Gauge::PresetVersion,
              preset == nullptr ? 0.0 : static_cast<double>(preset->version));
  if (aBackplane.sourceAge) {
    metrics.set(Gauge::SourceAge,
                std::chrono::duration<double>(aBackplane.sourceAge()).count());
  }
  metrics.set(Gauge::Upstreams, aTables.upstreamCount);
  metrics.set(Gauge::Entries, aTables.entryCount);
  metrics.set(Gauge::LogLinesDropped, static_cast<double>(suppressedLogLines()));
  std::size_t calls = 0;
  std::size_t callers = 0;
  std::size_t upstreams = 0;
  for (const auto& it : aTables.gauges) {
    calls += it.calls;
    callers += it.callerConnections;
    upstreams += it.upstreamConnections;
  }
  metrics.set(Gauge::Calls, static_cast<double>(calls));
  metrics.set(Gauge::CallerConnections, static_cast<double>(callers));
  metrics.set(Gauge::UpstreamConnections, static_cast<double>(upstreams));
}

} // namespace masticwall
