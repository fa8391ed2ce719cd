#pragma once

#include <core/EnumNames.h>

namespace masticwall {

/** The gauges of a process, updated when its metrics are scraped. */
enum class Gauge
{
  PresetVersion, ///< version of the preset in force; 0 before the first
  SourceAge,     ///< seconds since this VM or a peer read the source; gateways only
  Upstreams,     ///< upstreams in the VM list
  EvacuatedDataCentres, ///< data centres that the operator has evacuated
  EntryProcesses,    ///< entry processes in the VM list that are not leaving; at least 1
  CallsInProgress,   ///< calls in progress
  CallerConnections, ///< open connections from callers
  UpstreamConnections, ///< open connections to upstreams
  LogLinesSuppressed,  ///< log lines suppressed by the rate limits; not those of a full
                       ///< queue
};

template<>
struct EnumTable<Gauge>
{
  static constexpr std::array<EnumName<Gauge>, 9> kEntries{ {
    { Gauge::PresetVersion, "masticwall_preset_version" },
    { Gauge::SourceAge, "masticwall_source_age_seconds" },
    { Gauge::Upstreams, "masticwall_upstreams" },
    { Gauge::EvacuatedDataCentres, "masticwall_evacuated_data_centres" },
    { Gauge::EntryProcesses, "masticwall_entries" },
    { Gauge::CallsInProgress, "masticwall_calls_in_progress" },
    { Gauge::CallerConnections, "masticwall_caller_connections" },
    { Gauge::UpstreamConnections, "masticwall_upstream_connections" },
    { Gauge::LogLinesSuppressed, "masticwall_log_lines_dropped" },
  } };
};

} // namespace masticwall
