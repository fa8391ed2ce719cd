#include "ProcessGauges.h"
#include <telemetry/EventLog.h>

namespace masticwall {

void
setGauges(EntryTables& aTables, const ControlPlane& aControlPlane)
{
  auto& metrics = aTables.metrics;
  const auto preset = aTables.presets.current();
  metrics.set(Gauge::PresetVersion,
              preset == nullptr ? 0.0 : static_cast<double>(preset->version));
  if (aControlPlane.sourceAge) {
    metrics.set(Gauge::SourceAge,
                std::chrono::duration<double>(aControlPlane.sourceAge()).count());
  }
  metrics.set(Gauge::Upstreams, aTables.upstreamCount);
  metrics.set(Gauge::EvacuatedDataCentres,
              static_cast<double>(aTables.membership.evacuated().size()));
  metrics.set(Gauge::EntryProcesses, aTables.entryCount);
  metrics.set(Gauge::LogLinesSuppressed, static_cast<double>(suppressedLogLines()));
  std::size_t calls = 0;
  std::size_t callerConnections = 0;
  std::size_t upstreamConnections = 0;
  for (const auto& it : aTables.gauges) {
    calls += it.calls;
    callerConnections += it.callerConnections;
    upstreamConnections += it.upstreamConnections;
  }
  metrics.set(Gauge::CallsInProgress, static_cast<double>(calls));
  metrics.set(Gauge::CallerConnections, static_cast<double>(callerConnections));
  metrics.set(Gauge::UpstreamConnections, static_cast<double>(upstreamConnections));
}

} // namespace masticwall
